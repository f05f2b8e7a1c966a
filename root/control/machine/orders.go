package machine

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// orders carries orders to backend servers from request to settlement. A server
// gets no order before its streams have ended, and one order at a time.
type orders struct {
	l  *leader
	by map[string]*order
}

// orderPhase is the progress of one order.
type orderPhase uint8

const (
	// orderDraining waits for the server's streams to end.
	orderDraining orderPhase = iota
	// orderAcquiring waits for the right to issue orders.
	orderAcquiring
	// orderRecording waits for the order's fencing number.
	orderRecording
	// orderIssued waits for the holder to settle the order.
	orderIssued
)

// order is the change under way at one server.
type order struct {
	server string
	action authority.Action
	to     []proposer
	phase  orderPhase
	// drainSeq is the view in which the server takes no new work.
	drainSeq uint64
	// quietSince is when the last entry was seen without work on the server.
	quietSince time.Time
	// recovers is set when the order was left unsettled by an earlier holder.
	recovers bool
	retryAt  time.Time
}

// recoverInterval is the time between tries to take over an unsettled order.
const recoverInterval = 2 * time.Second

// newOrders picks up the orders that an earlier leader left unsettled.
func newOrders(l *leader) *orders {
	o := &orders{l: l, by: map[string]*order{}}
	for _, s := range l.r.state.Authority().Servers() {
		if !s.Order.State.Settled() {
			o.by[s.ID] = &order{server: s.ID, action: s.Order.Action, phase: orderAcquiring, recovers: true, retryAt: l.m.now}
		}
	}
	return o
}

// drains reports whether a server takes no new work because of an order.
func (o *orders) drains(server string) bool { return o.by[server] != nil }

func (o *orders) isPending(p proposer) bool {
	for _, ord := range o.by {
		for _, to := range ord.to {
			if to.vm == p.vm && to.id == p.id {
				return true
			}
		}
	}
	return false
}

// request starts an order, or joins the same one under way.
func (o *orders) request(p proposer, cmd replicated.RecordOrder) {
	if _, known := o.l.fleet.Server(cmd.Server); !known {
		o.l.answer(p, replicated.Result{Err: fault.New(fault.NotFound, part, "backend server %q is not known", cmd.Server)})
		return
	}
	if ord := o.by[cmd.Server]; ord != nil {
		if ord.action != cmd.Action {
			o.l.answer(p, replicated.Result{Err: fault.New(fault.Conflict, part, "another order to %q is under way", cmd.Server)})
			return
		}
		ord.to = append(ord.to, p)
		return
	}
	ord := &order{server: cmd.Server, action: cmd.Action, to: []proposer{p}}
	o.by[cmd.Server] = ord
	o.l.rebuild()
	ord.drainSeq = o.l.seq()
}

// advance moves orders on whose wait is over.
func (o *orders) advance() {
	for _, server := range sortedKeys(o.by) {
		ord := o.by[server]
		switch {
		case ord.phase == orderDraining && o.isQuiet(ord):
			o.acquire(ord)
		case ord.recovers && ord.phase == orderAcquiring && !o.l.m.now.Before(ord.retryAt):
			o.acquire(ord)
		}
	}
}

// isQuiet holds once every entry that may hold a lease counted no work on the
// server after the drain was in force for its traffic, and the server itself
// reported none since. Entries without a lease start no work, but may have some
// left: the server's own report covers those.
func (o *orders) isQuiet(ord *order) bool {
	l := o.l
	if !l.m.keeps(ruleDrainBeforeSend) {
		return true
	}
	if l.m.now.Before(l.leasesBefore()) {
		return false
	}
	for _, h := range l.holders {
		if h.vm.Address == "" || !l.m.now.Before(h.until) {
			continue
		}
		if h.loadsSeq < ord.drainSeq || hasLoad(h.loads, ord.server) {
			ord.quietSince = time.Time{}
			return false
		}
	}
	if ord.quietSince.IsZero() {
		ord.quietSince = l.m.now
	}
	load, heardAt, known := l.fleet.ReportedLoad(ord.server)
	return known && heardAt.After(ord.quietSince) && load.Running == 0 && load.Waiting == 0
}

func hasLoad(loads []fleet.OwnLoad, server string) bool {
	for _, l := range loads {
		if l.Server == server && l.Running > 0 {
			return true
		}
	}
	return false
}

func (o *orders) self() authority.Holder {
	self := o.l.m.cfg.Self
	return authority.Holder{VM: self.ID, Incarnation: self.Incarnation}
}

func (o *orders) acquire(ord *order) {
	ord.phase = orderAcquiring
	ord.retryAt = o.l.m.now.Add(recoverInterval)
	cmd := authority.Acquire{Server: ord.server, Holder: o.self()}
	for _, vm := range o.l.fleet.VMs() {
		cmd.Running = append(cmd.Running, authority.Holder{VM: vm.ID, Incarnation: vm.Incarnation})
	}
	o.l.commit(replicated.AcquireAuthority{Acquire: cmd}, proposer{})
}

// applied follows the committed commands that concern orders.
func (o *orders) applied(cmd replicated.Command, result replicated.Result) {
	switch cmd := cmd.(type) {
	case replicated.AcquireAuthority:
		o.acquired(cmd, result)
	case replicated.RecordOrder:
		o.recorded(cmd, result)
	case replicated.SettleOrder:
		o.settled(cmd, result)
	}
}

func (o *orders) acquired(cmd replicated.AcquireAuthority, result replicated.Result) {
	ord := o.by[cmd.Server]
	if ord == nil || ord.phase != orderAcquiring || cmd.Holder != o.self() {
		return
	}
	switch {
	case result.Err != nil && ord.recovers:
		return
	case result.Err != nil:
		o.end(ord, result)
	case !result.Authority.Order.State.Settled():
		ord.phase = orderIssued
		o.resolve(ord, *result.Authority)
	default:
		ord.phase = orderRecording
		o.l.commit(replicated.RecordOrder{RecordOrder: authority.RecordOrder{
			Server: ord.server, Holder: o.self(), After: result.Authority.Fence, Action: ord.action,
		}}, proposer{})
	}
}

// resolve finds out what became of an unsettled order. One of this process's own
// is not observed: its sender may still be at it, under the same number.
func (o *orders) resolve(ord *order, out authority.Outcome) {
	own := out.Order.Holder == o.self() && o.l.m.keeps(ruleOwnOrders)
	if own && o.l.m.holder.isSending(ord.server, out.Order.Fence) {
		return
	}
	o.issue(ord, out.Order, !own, out.Fence)
}

func (o *orders) recorded(cmd replicated.RecordOrder, result replicated.Result) {
	ord := o.by[cmd.Server]
	if ord == nil || ord.phase != orderRecording || cmd.Holder != o.self() {
		return
	}
	if result.Err != nil {
		o.end(ord, result)
		return
	}
	ord.phase = orderIssued
	o.issue(ord, result.Authority.Order, false, result.Authority.Fence)
}

func (o *orders) issue(ord *order, what authority.Order, observe bool, number uint64) {
	server, known := o.l.fleet.Server(ord.server)
	if !known {
		// The server is gone for now: the order is taken up again when it is back.
		ord.phase = orderAcquiring
		ord.recovers = true
		return
	}
	o.l.m.holder.issue(IssueOrder{Server: server, Order: what, Observe: observe, Number: number})
}

func (o *orders) settled(cmd replicated.SettleOrder, result replicated.Result) {
	ord := o.by[cmd.Server]
	if ord == nil || result.Err != nil || !result.Authority.Order.State.Settled() {
		return
	}
	o.end(ord, result)
}

// end answers the requests and lets the server take work again.
func (o *orders) end(ord *order, result replicated.Result) {
	delete(o.by, ord.server)
	if result.Err == nil && result.Authority.Order.State == authority.Failed {
		result.Err = fault.New(fault.BackendFailed, part, "%q did not carry out the order", ord.server).WithRan(fault.RanNo)
	}
	for _, p := range ord.to {
		o.l.answer(p, result)
	}
	o.l.rebuild()
}

// holder is the process's side of the right to issue orders. It outlives the
// process's leadership: an order that was sent is settled by its sender.
type holder struct {
	m *Machine
	// sending holds the number of the order under way per server, from its issue
	// until it is settled.
	sending map[string]uint64
}

func (h *holder) issue(e IssueOrder) {
	h.sending[e.Server.ID] = e.Order.Fence
	h.m.emit(e)
}

func (h *holder) isSending(server string, fence uint64) bool {
	sending, ok := h.sending[server]
	return ok && sending == fence
}

// done settles an order whose outcome is known, then gives the right up.
func (h *holder) done(ev OrderDone) {
	self := authority.Holder{VM: h.m.cfg.Self.ID, Incarnation: h.m.cfg.Self.Incarnation}
	outcome := authority.Failed
	if ev.Applied {
		outcome = authority.Succeeded
	}
	settle := authority.SettleOrder{
		Server: ev.Server, Holder: self, Fence: ev.Fence, Outcome: outcome, Observed: ev.Observed,
	}
	h.settle(settle)
}

// settle repeats until the order is settled or the right was lost.
func (h *holder) settle(cmd authority.SettleOrder) {
	h.m.proposals.propose(replicated.SettleOrder{SettleOrder: cmd}, func(res replicated.Result) {
		if res.Err != nil && fault.Is(res.Err, fault.NoQuorum) {
			h.settle(cmd)
			return
		}
		if h.isSending(cmd.Server, cmd.Fence) {
			delete(h.sending, cmd.Server)
		}
		if res.Err == nil {
			h.release(authority.Release{Server: cmd.Server, Holder: cmd.Holder})
		}
	})
}

func (h *holder) release(cmd authority.Release) {
	h.m.proposals.propose(replicated.ReleaseAuthority{Release: cmd}, func(res replicated.Result) {
		if res.Err != nil && fault.Is(res.Err, fault.NoQuorum) {
			h.release(cmd)
		}
	})
}
