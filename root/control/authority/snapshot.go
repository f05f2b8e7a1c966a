package authority

import (
	"cmp"
	"maps"
	"slices"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Snapshot is the whole state at one moment. It must not be changed.
type Snapshot struct {
	// Servers is in order of id.
	Servers []Server
	// Dead holds the newest incarnation per VM that was confirmed dead.
	Dead          map[string]uint64
	Confirmations []Confirmation
}

// Snapshot returns the state at this moment. Later operations don't affect it.
func (a *Authority) Snapshot() Snapshot {
	servers := make([]Server, 0, len(a.servers))
	for _, s := range a.servers {
		servers = append(servers, *s)
	}
	slices.SortFunc(servers, func(x, y Server) int { return cmp.Compare(x.ID, y.ID) })
	return Snapshot{
		Servers:       servers,
		Dead:          maps.Clone(a.dead),
		Confirmations: slices.Clone(a.confirmations),
	}
}

// Restore returns a state equal to the one that made the snapshot. The error is
// of kind fault.Corrupt.
func Restore(snap Snapshot) (*Authority, error) {
	if len(snap.Servers) > MaxServers || len(snap.Dead) > MaxVMs || len(snap.Confirmations) > MaxConfirmations {
		return nil, fault.New(fault.Corrupt, part, "the snapshot is larger than its bounds")
	}
	a := New()
	maps.Copy(a.dead, snap.Dead)
	a.confirmations = append(a.confirmations, snap.Confirmations...)
	for _, s := range snap.Servers {
		if err := s.check(); err != nil {
			return nil, err
		}
		if a.servers[s.ID] != nil {
			return nil, fault.New(fault.Corrupt, part, "the snapshot repeats a server")
		}
		a.servers[s.ID] = &s
	}
	return a, nil
}

func (s Server) check() error {
	switch {
	case checkServer(s.ID) != nil:
		return fault.New(fault.Corrupt, part, "a server of the snapshot has no id")
	case len(s.Former) > MaxFormer:
		return fault.New(fault.Corrupt, part, "server %s has too many former holders", s.ID)
	case s.Order.State >= orderStates:
		return fault.New(fault.Corrupt, part, "server %s has an order in an unknown state", s.ID)
	case s.Order.Fence > s.Fence:
		return fault.New(fault.Corrupt, part, "server %s has an order above its fencing number", s.ID)
	}
	return nil
}
