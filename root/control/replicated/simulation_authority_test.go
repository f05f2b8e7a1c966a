package replicated_test

import (
	"slices"

	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// The engines: one checks fencing tokens, the other ignores them.
const (
	checking = "engine-checking"
	ignoring = "engine-ignoring"
)

// engine is a backend server that executes orders.
type engine struct {
	id string
	// highest is the highest fencing token seen. Only the checking engine rejects
	// orders by it, but settle skips a holder with an older token at both engines.
	highest uint64
	// applied holds the fencing tokens of the orders that took effect.
	applied []uint64
}

// localAuthority is the authority over an engine as one process knows it.
type localAuthority struct {
	holder authority.Holder
	engine *engine
	held   bool
	// after is the last fencing token that the process was given.
	after uint64
	// pending is the fencing token of an order that the process may still send. A
	// paused process sends it whenever it resumes.
	pending uint64
}

// orderModel models processes that issue orders to engines.
type orderModel struct {
	engines     []*engine
	authorities []*localAuthority
	// fences holds the highest fencing token given out per engine.
	fences map[string]uint64
	// unsettled holds the fencing token of the unsettled order per engine.
	unsettled map[string]uint64
	// proposals counts the orders proposed. It is never read.
	proposals int
}

func (m *orderModel) init() {
	m.engines = []*engine{{id: checking}, {id: ignoring}}
	m.fences = make(map[string]uint64)
	m.unsettled = make(map[string]uint64)
}

func (sim *simulation) alive(local *localAuthority) bool {
	return sim.work.vms[local.holder.VM] == local.holder.Incarnation
}

// running returns the processes that a leader has heard from: the newest ones of
// some VMs.
func (sim *simulation) running(s step) []authority.Holder {
	var out []authority.Holder
	for i := range vmCount {
		if s.b>>i&1 == 1 {
			out = append(out, authority.Holder{VM: vmName(i), Incarnation: sim.work.vms[vmName(i)]})
		}
	}
	return out
}

func (sim *simulation) acquire(s step) {
	vm := vmName(s.a)
	h := authority.Holder{VM: vm, Incarnation: sim.work.vms[vm]}
	e := sim.orders.engines[s.a/vmCount%2]
	local := sim.authorityOf(h, e)
	a := authority.Acquire{Server: e.id, Holder: h, Running: sim.running(s)}
	sim.propose(s, replicated.AcquireAuthority{Acquire: a}, func(r replicated.Result) {
		if r.Err != nil {
			return
		}
		sim.checkFence(e.id, r)
		local.held = true
		local.after = max(local.after, r.Authority.Fence)
		sim.checkSoleHolder(local)
	})
}

func (sim *simulation) authorityOf(h authority.Holder, e *engine) *localAuthority {
	for _, local := range sim.orders.authorities {
		if local.holder == h && local.engine == e {
			return local
		}
	}
	local := &localAuthority{holder: h, engine: e}
	sim.orders.authorities = append(sim.orders.authorities, local)
	return local
}

// checkFence checks that each new fencing token is above the last one.
func (sim *simulation) checkFence(server string, r replicated.Result) {
	last := sim.orders.fences[server]
	if !r.Authority.Repeated && r.Authority.Fence <= last {
		sim.fail("%s got token %d after %d", server, r.Authority.Fence, last)
	}
	sim.orders.fences[server] = max(last, r.Authority.Fence)
}

// checkSoleHolder checks that no other live process has an order left to send to
// the engine without fencing. A process that wrongly believes it still holds the
// authority is harmless, because it gets no fencing token for an order.
func (sim *simulation) checkSoleHolder(local *localAuthority) {
	if local.engine.id != ignoring {
		return
	}
	for _, other := range sim.orders.authorities {
		if other != local && other.engine == local.engine && other.pending != 0 && sim.alive(other) {
			sim.fail("%v may issue orders to %s, and %v still can", local.holder, ignoring, other.holder)
		}
	}
}

// pickAuthority returns a recent authority that a live process believes it holds, or nil.
func (sim *simulation) pickAuthority(s step) *localAuthority {
	local := sim.recentAuthority(s)
	if local == nil || !local.held || !sim.alive(local) {
		return nil
	}
	return local
}

func (sim *simulation) recentAuthority(s step) *localAuthority {
	n := len(sim.orders.authorities)
	if n == 0 {
		return nil
	}
	return sim.orders.authorities[n-1-s.a%min(n, 6)]
}

func (sim *simulation) record(s step) {
	local := sim.pickAuthority(s)
	if local == nil || local.pending != 0 {
		return
	}
	sim.orders.proposals++
	given := uint64(0)
	o := authority.RecordOrder{Server: local.engine.id, Holder: local.holder, After: local.after}
	o.Action = authority.Action{Kind: authority.LoadModel, Model: "m"}
	sim.propose(s, replicated.RecordOrder{RecordOrder: o}, func(r replicated.Result) {
		if r.Err != nil {
			return
		}
		sim.checkFence(local.engine.id, r)
		if given != 0 && given != r.Authority.Fence {
			sim.fail("one order got the fencing tokens %d and %d", given, r.Authority.Fence)
		}
		if given == 0 && !r.Authority.Repeated {
			sim.handleRecorded(local, r.Authority.Fence)
		}
		given = r.Authority.Fence
	})
}

func (sim *simulation) handleRecorded(local *localAuthority, fence uint64) {
	if open := sim.orders.unsettled[local.engine.id]; open != 0 {
		sim.fail("order %d recorded while order %d is unsettled", fence, open)
	}
	sim.orders.unsettled[local.engine.id] = fence
	local.after = max(local.after, fence)
	local.pending = fence
}

// deliverOrder delivers an order to its engine. The ignoring engine accepts it from
// any live process. At the checking engine it may also arrive from the network after
// its process has died.
func (sim *simulation) deliverOrder(s step) {
	local := sim.recentAuthority(s)
	if local == nil {
		return
	}
	e := local.engine
	checks := e.id == checking
	if local.pending == 0 || !checks && !sim.alive(local) {
		return
	}
	fence := local.pending
	local.pending = 0
	if checks && !sim.mutant.engineSkipsCheck && fence < e.highest {
		return
	}
	e.highest = max(e.highest, fence)
	e.applied = append(e.applied, fence)
	if sim.orders.unsettled[e.id] != fence {
		sim.fail("order %d took effect on %s, but the unsettled order is %d (0 for none)", fence, e.id, sim.orders.unsettled[e.id])
	}
}

// settle observes the outcome of the last order and records it. If the holder has
// not yet sent that order, it first gives up sending it. The observation carries the
// holder's fencing token, so that the checking engine rejects older orders from then
// on. A holder whose token is older than the highest one seen observes nothing.
func (sim *simulation) settle(s step) {
	local := sim.pickAuthority(s)
	if local == nil {
		return
	}
	e := local.engine
	server, _ := sim.state.Authority().Server(e.id)
	if server.Order.Fence == local.pending && !sim.mutant.settlesWhileSending {
		local.pending = 0
	}
	if local.after < e.highest {
		return
	}
	e.highest = local.after
	outcome := authority.Failed
	if slices.Contains(e.applied, server.Order.Fence) {
		outcome = authority.Succeeded
	}
	settle := authority.SettleOrder{Server: e.id, Holder: local.holder, Fence: server.Order.Fence, Outcome: outcome}
	sim.propose(s, replicated.SettleOrder{SettleOrder: settle}, func(r replicated.Result) {
		if r.Err == nil && sim.orders.unsettled[e.id] == settle.Fence {
			sim.orders.unsettled[e.id] = 0
		}
	})
}

func (sim *simulation) release(s step) {
	local := sim.pickAuthority(s)
	if local == nil || local.pending != 0 {
		return
	}
	local.held = false
	sim.propose(s, replicated.ReleaseAuthority{Release: authority.Release{Server: local.engine.id, Holder: local.holder}}, nil)
}

// confirmDead truthfully confirms that the processes before the newest one are dead.
func (sim *simulation) confirmDead(s step) {
	vm := vmName(s.a)
	newest := sim.work.vms[vm]
	if newest < 2 {
		return
	}
	c := authority.ConfirmDead{VM: vm, Incarnation: newest - 1, Operator: "o", Statement: "powered off"}
	if s.b%2 == 0 {
		c.Server = ignoring
	}
	sim.propose(s, replicated.ConfirmDead{ConfirmDead: c}, nil)
}

// setFencing changes the fencing setting of the checking engine.
func (sim *simulation) setFencing(s step) {
	sim.propose(s, replicated.SetFencing{Server: checking, Checks: s.a%2 == 0}, nil)
}

// crashEngine crashes an engine, which loses the effect of the unsettled order. The
// engine keeps the highest fencing token that it has seen.
func (sim *simulation) crashEngine(s step) {
	e := sim.orders.engines[s.a%2]
	open := sim.orders.unsettled[e.id]
	e.applied = slices.DeleteFunc(e.applied, func(fence uint64) bool { return fence == open })
}
