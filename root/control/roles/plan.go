package roles

import (
	"cmp"
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// Plan returns the role changes to start now, highest net gain first. It returns
// none if the configuration is invalid. A change is planned if it raises the
// fraction of the demand that can be served, its expected gain over the horizon is
// more than MinGainRatio times its loss, the engine has been in its role for
// MinTimeInRole, fewer than MaxConcurrentChanges changes are in progress, and at
// least one engine that isn't changing remains for each stage in demand.
func Plan(demand Demand, engines []Engine, cfg Config) []Change {
	if cfg.Validate() != nil {
		return nil
	}
	p := newPlanner(demand, engines, cfg)
	var changes []Change
	for p.concurrentChanges < cfg.MaxConcurrentChanges {
		best, ok := p.best()
		if !ok {
			break
		}
		p.apply(best)
		changes = append(changes, best.change)
	}
	return changes
}

type planner struct {
	// required is the capacity needed to serve the demand at Config.Utilization.
	required          Demand
	demand            Demand
	cfg               Config
	engines           []Engine
	capacity          totalCapacity
	servedFraction    float64
	concurrentChanges int
	// availablePrefill and availableDecode count the engines that serve each stage
	// and aren't changing.
	availablePrefill, availableDecode int
}

// candidate is a possible role change.
type candidate struct {
	// index is the position of the engine in planner.engines.
	index int
	// capacity is the total capacity after the change.
	capacity totalCapacity
	change   Change
}

func (c candidate) netGain() float64 {
	return c.change.Reason.GainTokens - c.change.Reason.LossTokens
}

func newPlanner(demand Demand, engines []Engine, cfg Config) *planner {
	p := &planner{demand: demand, cfg: cfg, engines: slices.Clone(engines)}
	p.required = Demand{Prefill: demand.Prefill / cfg.Utilization, Decode: demand.Decode / cfg.Utilization}
	slices.SortFunc(p.engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range p.engines {
		p.capacity = p.capacity.add(e.Capacity, e.Role, 1)
		if e.Changing {
			p.concurrentChanges++
			continue
		}
		p.countAvailable(e.Role, 1)
	}
	p.servedFraction = p.capacity.servedFraction(p.required)
	return p
}

func (p *planner) countAvailable(role fleet.Role, n int) {
	if role != fleet.Decode {
		p.availablePrefill += n
	}
	if role != fleet.Prefill {
		p.availableDecode += n
	}
}

// best returns the candidate with the highest net gain. Ties go to the
// engine with the lowest id.
func (p *planner) best() (candidate, bool) {
	var best candidate
	found := false
	for i, e := range p.engines {
		if e.Changing || e.TimeInRole < p.cfg.MinTimeInRole || p.isLastAvailable(e.Role) {
			continue
		}
		for _, to := range []fleet.Role{fleet.Mixed, fleet.Prefill, fleet.Decode} {
			c, ok := p.evaluate(i, to)
			if ok && (!found || c.netGain() > best.netGain()) {
				best = c
				found = true
			}
		}
	}
	return best, found
}

// isLastAvailable reports whether a stage in demand would have no engine left
// while one of the given role is changing.
func (p *planner) isLastAvailable(role fleet.Role) bool {
	lastPrefill := role != fleet.Decode && p.availablePrefill == 1 && p.demand.Prefill > 0
	lastDecode := role != fleet.Prefill && p.availableDecode == 1 && p.demand.Decode > 0
	return lastPrefill || lastDecode
}

// evaluate returns the change of an engine to the given role, and whether it is
// worthwhile.
func (p *planner) evaluate(index int, to fleet.Role) (candidate, bool) {
	e := p.engines[index]
	if e.Role == to {
		return candidate{}, false
	}
	downtime := p.cfg.ChangeTime + time.Duration(e.Requests)*p.cfg.DrainTimePerRequest
	if downtime >= p.cfg.Horizon {
		return candidate{}, false
	}
	next := p.capacity.add(e.Capacity, e.Role, -1).add(e.Capacity, to, 1)
	after := next.servedFraction(p.required)
	reason := Reason{
		ServedBefore: p.servedFraction,
		ServedAfter:  after,
		GainTokens:   (after - p.servedFraction) * p.demand.total() * (p.cfg.Horizon - downtime).Seconds(),
		LossTokens:   e.tokensPerSecond() * downtime.Seconds(),
	}
	worthwhile := reason.GainTokens > reason.LossTokens*p.cfg.MinGainRatio && after > p.servedFraction
	change := Change{Engine: e.ID, From: e.Role, To: to, Reason: reason}
	return candidate{index: index, capacity: next, change: change}, worthwhile
}

// tokensPerSecond returns the maximum throughput of the engine in its current
// role.
func (e Engine) tokensPerSecond() float64 {
	switch e.Role {
	case fleet.Prefill:
		return e.Capacity.Prefill
	case fleet.Decode:
		return e.Capacity.Decode
	default:
		return e.Capacity.MixedFraction * max(e.Capacity.Prefill, e.Capacity.Decode)
	}
}

// apply updates the planner's state for a planned change.
func (p *planner) apply(c candidate) {
	e := &p.engines[c.index]
	p.countAvailable(e.Role, -1)
	e.Role = c.change.To
	e.Changing = true
	p.capacity = c.capacity
	p.servedFraction = c.change.Reason.ServedAfter
	p.concurrentChanges++
}
