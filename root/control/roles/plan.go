package roles

import (
	"cmp"
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// Plan returns the changes to start now, the most worthwhile first, and none
// when the configuration is not valid. A change is planned when its expected
// gain over the horizon exceeds its loss by the configured ratio, the engine has
// dwelt long enough in its role, the bound on changes in flight is kept, and an
// engine that is not changing remains for each kind of work in demand.
func Plan(demand Demand, engines []Engine, cfg Config) []Change {
	if cfg.Validate() != nil {
		return nil
	}
	p := newPlanner(demand, engines, cfg)
	var changes []Change
	for p.inFlight < cfg.MaxInFlight {
		best, ok := p.best()
		if !ok {
			break
		}
		p.take(best)
		changes = append(changes, best.change)
	}
	return changes
}

type planner struct {
	// target is the demand raised so that capacity is left over.
	target   Demand
	demand   Demand
	cfg      Config
	engines  []Engine
	pool     pool
	served   float64
	inFlight int
	// able counts the engines not changing that do each kind of work.
	ablePrefill, ableDecode int
}

// candidate is a possible change of the engine at an index.
type candidate struct {
	index  int
	pool   pool
	change Change
}

func (c candidate) net() float64 {
	return c.change.Reason.GainTokens - c.change.Reason.LossTokens
}

func newPlanner(demand Demand, engines []Engine, cfg Config) *planner {
	p := &planner{demand: demand, cfg: cfg, engines: slices.Clone(engines)}
	p.target = Demand{Prefill: demand.Prefill / cfg.Utilization, Decode: demand.Decode / cfg.Utilization}
	slices.SortFunc(p.engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range p.engines {
		p.pool = p.pool.with(e.Capacity, e.Role, 1)
		if e.Changing {
			p.inFlight++
			continue
		}
		p.count(e.Role, 1)
	}
	p.served = p.pool.served(p.target)
	return p
}

func (p *planner) count(role fleet.Role, n int) {
	if role != fleet.Decode {
		p.ablePrefill += n
	}
	if role != fleet.Prefill {
		p.ableDecode += n
	}
}

// best returns the candidate with the highest net gain; the first in order of
// id wins a tie.
func (p *planner) best() (candidate, bool) {
	var best candidate
	found := false
	for i, e := range p.engines {
		if e.Changing || e.InRole < p.cfg.MinDwell || p.isLast(e.Role) {
			continue
		}
		for _, to := range []fleet.Role{fleet.Mixed, fleet.Prefill, fleet.Decode} {
			c, ok := p.consider(i, to)
			if ok && (!found || c.net() > best.net()) {
				best = c
				found = true
			}
		}
	}
	return best, found
}

// isLast reports whether work in demand would have no engine while one of the
// given role is away.
func (p *planner) isLast(role fleet.Role) bool {
	lastPrefill := role != fleet.Decode && p.ablePrefill == 1 && p.demand.Prefill > 0
	lastDecode := role != fleet.Prefill && p.ableDecode == 1 && p.demand.Decode > 0
	return lastPrefill || lastDecode
}

func (p *planner) consider(index int, to fleet.Role) (candidate, bool) {
	e := p.engines[index]
	if e.Role == to {
		return candidate{}, false
	}
	away := p.cfg.ChangeTime + time.Duration(e.Streams)*p.cfg.StreamTime
	if away >= p.cfg.Horizon {
		return candidate{}, false
	}
	next := p.pool.with(e.Capacity, e.Role, -1).with(e.Capacity, to, 1)
	after := next.served(p.target)
	reason := Reason{
		ServedBefore: p.served,
		ServedAfter:  after,
		GainTokens:   (after - p.served) * p.demand.total() * (p.cfg.Horizon - away).Seconds(),
		LossTokens:   e.tokensPerSecond() * away.Seconds(),
	}
	worthwhile := reason.GainTokens > reason.LossTokens*p.cfg.MinGainRatio && after > p.served
	change := Change{Engine: e.ID, From: e.Role, To: to, Reason: reason}
	return candidate{index: index, pool: next, change: change}, worthwhile
}

// tokensPerSecond is the most that the engine does in its present role.
func (e Engine) tokensPerSecond() float64 {
	switch e.Role {
	case fleet.Prefill:
		return e.Capacity.Prefill
	case fleet.Decode:
		return e.Capacity.Decode
	default:
		return e.Capacity.Mixed * max(e.Capacity.Prefill, e.Capacity.Decode)
	}
}

// take makes a planned change part of the picture.
func (p *planner) take(c candidate) {
	e := &p.engines[c.index]
	p.count(e.Role, -1)
	e.Role = c.change.To
	e.Changing = true
	p.pool = c.pool
	p.served = c.change.Reason.ServedAfter
	p.inFlight++
}
