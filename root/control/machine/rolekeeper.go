package machine

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/roles"
)

const (
	// takeoverQuiet is how long a new leader gives no orders: longer than the lease
	// within which orders of two holders count as taking turns.
	takeoverQuiet = 6 * time.Second
	// wishTime is how long a change must look worthwhile before it is ordered: a
	// crest that passes sooner is over before the engine is back.
	wishTime = 2500 * time.Millisecond
	// minDwell is the shortest time between two changes of one engine: a change
	// takes about three seconds, and half of that again pays for it.
	minDwell = 8 * time.Second
)

// roleKeeper shifts engines between prefill and decode as the entries' pressures
// ask for it. Only the leader runs it.
type roleKeeper struct {
	l *leader
	// pending holds the change that each service has looked to need, and since when.
	pending map[string]roleWish
	// changed holds when an engine was last ordered to change.
	changed map[string]time.Time
}

type roleWish struct {
	shift roles.Shift
	since time.Time
}

// plan orders the changes that have been worthwhile for long enough.
func (k *roleKeeper) plan() {
	now := k.l.m.now
	if !k.l.m.cfg.PlanRoles || now.Sub(k.l.since) < takeoverQuiet {
		return
	}
	for service, engines := range k.engines() {
		shift := roles.Balance(k.pressures(service), engines)
		wish, wished := k.pending[service]
		switch {
		case shift.Engine == "":
			delete(k.pending, service)
		case !wished || wish.shift.To != shift.To:
			k.pending[service] = roleWish{shift, now}
		case now.Sub(wish.since) >= wishTime:
			delete(k.pending, service)
			k.order(shift)
		}
	}
}

// engines returns the engines of each service as the planner sees them.
func (k *roleKeeper) engines() map[string][]roles.Engine {
	out := map[string][]roles.Engine{}
	for _, s := range k.l.fleet.Servers() {
		if s.Kind != fleet.Engine || len(s.Targets) == 0 || s.State != fleet.Active {
			continue
		}
		inRole := minDwell
		if at, ok := k.changed[s.ID]; ok {
			inRole = k.l.m.now.Sub(at)
		}
		out[s.Targets[0]] = append(out[s.Targets[0]], roles.Engine{
			ID: s.ID, Role: s.Role, Changing: k.l.orders.drains(s.ID) || inRole < minDwell,
			InRole: inRole, Streams: s.Load.Running,
		})
	}
	return out
}

// pressures sums what the entries with a lease see of a service.
func (k *roleKeeper) pressures(service string) roles.Pressures {
	var out roles.Pressures
	for _, h := range k.l.holders {
		if !k.l.m.now.Before(h.until) {
			continue
		}
		for _, p := range h.pressures {
			if p.Service == service {
				out.Add(p)
			}
		}
	}
	return out
}

func (k *roleKeeper) order(s roles.Shift) {
	k.changed[s.Engine] = k.l.m.now
	if checks, known := k.l.r.state.Fencing()[s.Engine]; !known || !checks {
		k.l.commit(replicated.SetFencing{Server: s.Engine, Checks: true, By: "settings"}, proposer{})
	}
	k.l.orders.request(proposer{}, replicated.RecordOrder{RecordOrder: authority.RecordOrder{
		Server: s.Engine, Action: authority.Action{Kind: authority.ChangeRole, Role: s.To},
	}})
}
