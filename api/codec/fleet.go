package codec

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/api"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

func toHeard(p *api.Heard) fleet.Announcement {
	return fleet.Announcement{Server: toServer(p.GetServer()), Age: time.Duration(p.GetAgeNanos())}
}

func fromServer(s fleet.Server) *api.Server {
	return &api.Server{
		Id:            s.ID,
		Incarnation:   s.Incarnation,
		Address:       s.Address,
		FailureDomain: s.FailureDomain,
		Kind:          uint32(s.Kind),
		Role:          uint32(s.Role),
		Targets:       s.Targets,
		Slots:         int64(s.Slots),
		CacheTokens:   int64(s.CacheTokens),
		ChecksFencing: s.ChecksFencing,
		State:         uint32(s.State),
		Load:          fromLoad(s.Load),
		Sequence:      s.Sequence,
	}
}

func toServer(p *api.Server) fleet.Server {
	return fleet.Server{
		ID:            p.GetId(),
		Incarnation:   p.GetIncarnation(),
		Address:       p.GetAddress(),
		FailureDomain: p.GetFailureDomain(),
		Kind:          fleet.ServerKind(p.GetKind()),
		Role:          fleet.Role(p.GetRole()),
		Targets:       p.GetTargets(),
		Slots:         int(p.GetSlots()),
		CacheTokens:   int(p.GetCacheTokens()),
		ChecksFencing: p.GetChecksFencing(),
		State:         fleet.State(p.GetState()),
		Load:          toLoad(p.GetLoad()),
		Sequence:      p.GetSequence(),
	}
}

// loadTo sends the age of a report: clocks of two VMs are never compared.
func fromLoad(l fleet.Load) *api.Load {
	out := &api.Load{Running: int64(l.Running), Waiting: int64(l.Waiting), CacheUsed: l.CacheUsed, Tokens: int64(l.Tokens)}
	if !l.AnnouncedAt.IsZero() {
		out.AgeNanos = int64(time.Since(l.AnnouncedAt))
	}
	return out
}

func toLoad(p *api.Load) fleet.Load {
	return fleet.Load{
		Running:     int(p.GetRunning()),
		Waiting:     int(p.GetWaiting()),
		CacheUsed:   p.GetCacheUsed(),
		Tokens:      int(p.GetTokens()),
		AnnouncedAt: time.Now().Add(-time.Duration(p.GetAgeNanos())),
	}
}

func fromVM(vm fleet.VM) *api.VM {
	return &api.VM{
		Id:            vm.ID,
		Incarnation:   vm.Incarnation,
		Address:       vm.Address,
		FailureDomain: vm.FailureDomain,
		State:         uint32(vm.State),
		InFlight:      int64(vm.InFlight),
		Replica:       vm.Replica,
	}
}

func toVM(p *api.VM) fleet.VM {
	return fleet.VM{
		ID:            p.GetId(),
		Incarnation:   p.GetIncarnation(),
		Address:       p.GetAddress(),
		FailureDomain: p.GetFailureDomain(),
		State:         fleet.State(p.GetState()),
		InFlight:      int(p.GetInFlight()),
		Replica:       p.GetReplica(),
	}
}

func fromOwnLoads(loads []fleet.OwnLoad) []*api.OwnLoad {
	out := make([]*api.OwnLoad, 0, len(loads))
	for _, l := range loads {
		out = append(out, &api.OwnLoad{Server: l.Server, Running: int64(l.Running), Tokens: int64(l.Tokens)})
	}
	return out
}

func toOwnLoads(loads []*api.OwnLoad) []fleet.OwnLoad {
	out := make([]fleet.OwnLoad, 0, len(loads))
	for _, l := range loads {
		out = append(out, fleet.OwnLoad{Server: l.GetServer(), Running: int(l.GetRunning()), Tokens: int(l.GetTokens())})
	}
	return out
}

func fromDemands(demands []fleet.Demand) []*api.Demand {
	out := make([]*api.Demand, 0, len(demands))
	for _, d := range demands {
		out = append(out, &api.Demand{
			Class: d.Class, Running: int64(d.Running), Waiting: int64(d.Waiting), RatePerSecond: d.RatePerSecond,
		})
	}
	return out
}

func toDemands(demands []*api.Demand) []fleet.Demand {
	out := make([]fleet.Demand, 0, len(demands))
	for _, d := range demands {
		out = append(out, fleet.Demand{
			Class: d.GetClass(), Running: int(d.GetRunning()), Waiting: int(d.GetWaiting()), RatePerSecond: d.GetRatePerSecond(),
		})
	}
	return out
}

func fromShares(shares []fleet.Share) []*api.Share {
	out := make([]*api.Share, 0, len(shares))
	for _, s := range shares {
		out = append(out, &api.Share{Class: s.Class, Fraction: s.Fraction})
	}
	return out
}

func toShares(shares []*api.Share) []fleet.Share {
	out := make([]fleet.Share, 0, len(shares))
	for _, s := range shares {
		out = append(out, fleet.Share{Class: s.GetClass(), Fraction: s.GetFraction()})
	}
	return out
}
