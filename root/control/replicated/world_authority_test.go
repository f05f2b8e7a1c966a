package replicated_test

import (
	"slices"

	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// The two kinds of engine.
const (
	checking = "engine-checking"
	ignoring = "engine-ignoring"
)

// engine is a backend server that takes orders.
type engine struct {
	id string
	// highest is the highest fencing number seen; only one kind keeps it.
	highest uint64
	// applied holds the numbers of the orders that took effect.
	applied []uint64
}

// claim is what one process believes about one engine.
type claim struct {
	holder authority.Holder
	engine *engine
	held   bool
	// after is the last fencing number that the process was given.
	after uint64
	// pending is the number of an order that the process may still send. A paused
	// process sends it whenever it wakes.
	pending uint64
}

// orderModel follows processes that order engines about.
type orderModel struct {
	engines []*engine
	claims  []*claim
	fences  map[string]uint64
	// unsettled is the number of the unsettled order per engine.
	unsettled map[string]uint64
	proposals int
}

func (m *orderModel) init() {
	m.engines = []*engine{{id: checking}, {id: ignoring}}
	m.fences = make(map[string]uint64)
	m.unsettled = make(map[string]uint64)
}

func (w *world) alive(c *claim) bool {
	return w.work.vms[c.holder.VM] == c.holder.Incarnation
}

// running is what a leader has seen: the newest process of some VMs.
func (w *world) running(s step) []authority.Holder {
	var out []authority.Holder
	for i := range entryCount {
		if s.b>>i&1 == 1 {
			out = append(out, authority.Holder{VM: vmName(i), Incarnation: w.work.vms[vmName(i)]})
		}
	}
	return out
}

func (w *world) acquire(s step) {
	vm := vmName(s.a)
	h := authority.Holder{VM: vm, Incarnation: w.work.vms[vm]}
	e := w.orders.engines[s.a/entryCount%2]
	c := w.claimOf(h, e)
	a := authority.Acquire{Server: e.id, Holder: h, Running: w.running(s)}
	w.propose(s, replicated.AcquireAuthority{Acquire: a}, func(r replicated.Result) {
		if r.Err != nil {
			return
		}
		w.checkFence(e.id, r)
		c.held = true
		c.after = max(c.after, r.Authority.Fence)
		w.checkSoleHolder(c)
	})
}

func (w *world) claimOf(h authority.Holder, e *engine) *claim {
	for _, c := range w.orders.claims {
		if c.holder == h && c.engine == e {
			return c
		}
	}
	c := &claim{holder: h, engine: e}
	w.orders.claims = append(w.orders.claims, c)
	return c
}

// checkFence holds that a number is given out once, and each above the last.
func (w *world) checkFence(server string, r replicated.Result) {
	last := w.orders.fences[server]
	if !r.Authority.Repeated && r.Authority.Fence <= last {
		w.fail("%s got number %d after %d", server, r.Authority.Fence, last)
	}
	w.orders.fences[server] = max(last, r.Authority.Fence)
}

// checkSoleHolder holds that no one else has an order left to send to an engine
// without a check. A process that only believes to hold the right gets no
// number for an order.
func (w *world) checkSoleHolder(c *claim) {
	if c.engine.id != ignoring {
		return
	}
	for _, other := range w.orders.claims {
		if other != c && other.engine == c.engine && other.pending != 0 && w.alive(other) {
			w.fail("%v may order %s, and %v still can", c.holder, ignoring, other.holder)
		}
	}
}

// pickClaim returns what a living process believes, or nil.
func (w *world) pickClaim(s step) *claim {
	c := w.recentClaim(s)
	if c == nil || !c.held || !w.alive(c) {
		return nil
	}
	return c
}

func (w *world) recentClaim(s step) *claim {
	n := len(w.orders.claims)
	if n == 0 {
		return nil
	}
	return w.orders.claims[n-1-s.a%min(n, 6)]
}

func (w *world) record(s step) {
	c := w.pickClaim(s)
	if c == nil || c.pending != 0 {
		return
	}
	w.orders.proposals++
	given := uint64(0)
	o := authority.RecordOrder{Server: c.engine.id, Holder: c.holder, After: c.after}
	o.Action = authority.Action{Kind: authority.LoadModel, Model: "m"}
	w.propose(s, replicated.RecordOrder{RecordOrder: o}, func(r replicated.Result) {
		if r.Err != nil {
			return
		}
		w.checkFence(c.engine.id, r)
		if given != 0 && given != r.Authority.Fence {
			w.fail("one order got the numbers %d and %d", given, r.Authority.Fence)
		}
		if given == 0 && !r.Authority.Repeated {
			w.recorded(c, r.Authority.Fence)
		}
		given = r.Authority.Fence
	})
}

func (w *world) recorded(c *claim, fence uint64) {
	if open := w.orders.unsettled[c.engine.id]; open != 0 {
		w.fail("order %d while order %d is unsettled", fence, open)
	}
	w.orders.unsettled[c.engine.id] = fence
	c.after = max(c.after, fence)
	c.pending = fence
}

// land brings an order to its engine. An engine that ignores numbers takes it
// from any living process; one that checks may get it from the network even
// after the process has died.
func (w *world) land(s step) {
	c := w.recentClaim(s)
	if c == nil {
		return
	}
	e := c.engine
	checks := e.id == checking
	if c.pending == 0 || !checks && !w.alive(c) {
		return
	}
	fence := c.pending
	c.pending = 0
	if checks && !w.mutant.engineForgets && fence < e.highest {
		return
	}
	e.highest = max(e.highest, fence)
	e.applied = append(e.applied, fence)
	if w.orders.unsettled[e.id] != fence {
		w.fail("order %d took effect on %s; the open order is %d", fence, e.id, w.orders.unsettled[e.id])
	}
}

// settle finds out what became of the last order. The observation carries the
// holder's number, so that a checking engine refuses what is older from then on.
func (w *world) settle(s step) {
	c := w.pickClaim(s)
	if c == nil {
		return
	}
	e := c.engine
	server, _ := w.state.Authority().Server(e.id)
	if server.Order.Fence == c.pending && !w.mutant.keepsSending {
		c.pending = 0
	}
	if c.after < e.highest {
		return
	}
	e.highest = c.after
	outcome := authority.Failed
	if slices.Contains(e.applied, server.Order.Fence) {
		outcome = authority.Succeeded
	}
	settle := authority.SettleOrder{Server: e.id, Holder: c.holder, Fence: server.Order.Fence, Outcome: outcome}
	w.propose(s, replicated.SettleOrder{SettleOrder: settle}, func(r replicated.Result) {
		if r.Err == nil && w.orders.unsettled[e.id] == settle.Fence {
			w.orders.unsettled[e.id] = 0
		}
	})
}

func (w *world) release(s step) {
	c := w.pickClaim(s)
	if c == nil || c.pending != 0 {
		return
	}
	c.held = false
	w.propose(s, replicated.ReleaseAuthority{Release: authority.Release{Server: c.engine.id, Holder: c.holder}}, nil)
}

// confirmDead states the truth about the processes before the newest one.
func (w *world) confirmDead(s step) {
	vm := vmName(s.a)
	newest := w.work.vms[vm]
	if newest < 2 {
		return
	}
	c := authority.ConfirmDead{VM: vm, Incarnation: newest - 1, Operator: "o", Statement: "seen off"}
	if s.b%2 == 0 {
		c.Server = ignoring
	}
	w.propose(s, replicated.ConfirmDead{ConfirmDead: c}, nil)
}

// doubt takes the word of the checking engine away or gives it back.
func (w *world) doubt(s step) {
	w.propose(s, replicated.SetFencing{Server: checking, Checks: s.a%2 == 0}, nil)
}

// breakEngine lets an engine crash in the middle of the unsettled change. It
// keeps the highest number that it has seen.
func (w *world) breakEngine(s step) {
	e := w.orders.engines[s.a%2]
	open := w.orders.unsettled[e.id]
	e.applied = slices.DeleteFunc(e.applied, func(fence uint64) bool { return fence == open })
}
