package machine

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// orders takes orders to backend servers from request to settlement. A server is
// drained of requests before an order is sent, and has at most one order in
// progress.
type orders struct {
	l        *leader
	byServer map[string]*order
	answers  orderAnswers
}

type orderPhase uint8

const (
	// orderDraining waits until the server has no requests in flight.
	orderDraining orderPhase = iota
	// orderAcquiring waits until this process holds the server's lock (package
	// authority), which gives the right to issue orders to it.
	orderAcquiring
	// orderRecording waits for the order's fencing token.
	orderRecording
	// orderIssued waits for the outcome of the order.
	orderIssued
)

// order is an order in progress for one backend server.
type order struct {
	server    string
	action    authority.Action
	proposers []proposer
	phase     orderPhase
	// drainSeq is the sequence of a view that keeps new work from the server.
	drainSeq uint64
	// idleSince is when all entries were first seen without requests on the server.
	idleSince time.Time
	// recovering is set for an unsettled order that this leader recovers: one left by
	// an earlier leader, or one whose server was unknown when it was to be issued.
	recovering bool
	retryAt    time.Time
}

// recoverRetryInterval is the time between attempts to recover an unsettled order.
const recoverRetryInterval = 2 * time.Second

// newOrders starts to recover the orders that an earlier leader left unsettled.
func newOrders(l *leader) *orders {
	o := &orders{l: l, byServer: map[string]*order{}, answers: newOrderAnswers()}
	for _, s := range l.r.state.Authority().Servers() {
		if !s.Order.State.Settled() {
			o.byServer[s.ID] = &order{server: s.ID, action: s.Order.Action, phase: orderAcquiring, recovering: true, retryAt: l.m.now}
		}
	}
	return o
}

// isDraining reports whether an order keeps new work from a server.
func (o *orders) isDraining(server string) bool { return o.byServer[server] != nil }

func (o *orders) isPending(p proposer) bool {
	for _, ord := range o.byServer {
		for _, other := range ord.proposers {
			if other.vm == p.vm && other.id == p.id {
				return true
			}
		}
	}
	return false
}

// request starts an order, or attaches the proposer to an identical one in
// progress.
func (o *orders) request(p proposer, cmd replicated.RecordOrder) {
	if _, known := o.l.fleet.Server(cmd.Server); !known {
		o.answer(p, replicated.Result{Err: fault.New(fault.NotFound, part, "unknown backend server %q", cmd.Server)})
		return
	}
	if ord := o.byServer[cmd.Server]; ord != nil {
		if ord.action != cmd.Action {
			o.answer(p, replicated.Result{Err: fault.New(fault.Conflict, part, "another order to backend server %q is in progress", cmd.Server)})
			return
		}
		if len(ord.proposers) == authority.MaxProposalsPerOrder {
			o.answer(p, replicated.Result{Err: fault.New(fault.Overloaded, part, "too many requests for the order to backend server %q", cmd.Server)})
			return
		}
		ord.proposers = append(ord.proposers, p)
		return
	}
	ord := &order{server: cmd.Server, action: cmd.Action, proposers: []proposer{p}}
	o.byServer[cmd.Server] = ord
	o.l.pushView()
	ord.drainSeq = o.l.seq()
}

// advance starts the next phase of orders whose server is idle, and retries the
// recovery of unsettled orders. Other orders are not retried: if the consensus core
// refuses the proposal for one, the order stays in its phase and its server draining
// until this replica stops leading.
func (o *orders) advance() {
	for _, server := range sortedKeys(o.byServer) {
		ord := o.byServer[server]
		switch {
		case ord.phase == orderDraining && o.isIdle(ord):
			o.acquire(ord)
		case ord.recovering && ord.phase == orderAcquiring && !o.l.m.now.Before(ord.retryAt):
			o.acquire(ord)
		}
	}
}

// isIdle reports whether a server has no requests left. Every entry with a live
// lease must have reported none after its traffic switched to the draining view,
// and the server itself must have reported none after that. Entries without a lease
// may still have requests in flight; only the server's own report shows those. They
// start no work unless Config.LeaseOptional is set; with it, they may still send work
// to the server if their last view shows it as active. Leases of an earlier leader
// must have expired, because this leader may not know their holders.
func (o *orders) isIdle(ord *order) bool {
	l := o.l
	if !l.m.enforces(ruleDrainBeforeOrder) {
		return true
	}
	if l.m.now.Before(l.earlierLeasesExpireAt()) {
		return false
	}
	for _, h := range l.holders {
		if h.vm.Address == "" || !l.m.now.Before(h.expiresAt) {
			continue
		}
		if h.loadsSeq < ord.drainSeq || hasLoad(h.loads, ord.server) {
			ord.idleSince = time.Time{}
			return false
		}
	}
	if ord.idleSince.IsZero() {
		ord.idleSince = l.m.now
	}
	load, heardAt, known := l.fleet.AnnouncedLoad(ord.server)
	return known && heardAt.After(ord.idleSince) && load.Running == 0 && load.Waiting == 0
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
	ord.retryAt = o.l.m.now.Add(recoverRetryInterval)
	cmd := authority.Acquire{Server: ord.server, Holder: o.self()}
	for _, vm := range o.l.fleet.VMs() {
		cmd.Running = append(cmd.Running, authority.Holder{VM: vm.ID, Incarnation: vm.Incarnation})
	}
	o.l.propose(replicated.AcquireAuthority{Acquire: cmd}, proposer{})
}

// onApplied handles committed commands that concern orders.
func (o *orders) onApplied(cmd replicated.Command, result replicated.Result) {
	switch cmd := cmd.(type) {
	case replicated.AcquireAuthority:
		o.onAcquired(cmd, result)
	case replicated.RecordOrder:
		o.onRecorded(cmd, result)
	case replicated.SettleOrder:
		o.onSettled(cmd, result)
	}
}

func (o *orders) onAcquired(cmd replicated.AcquireAuthority, result replicated.Result) {
	ord := o.byServer[cmd.Server]
	if ord == nil || ord.phase != orderAcquiring || cmd.Holder != o.self() {
		return
	}
	switch {
	case result.Err != nil && ord.recovering:
		return
	case result.Err != nil:
		o.finish(ord, result)
	case !result.Authority.Order.State.Settled():
		ord.phase = orderIssued
		o.resolve(ord, *result.Authority)
	default:
		ord.phase = orderRecording
		o.l.propose(replicated.RecordOrder{RecordOrder: authority.RecordOrder{
			Server: ord.server, Holder: o.self(), After: result.Authority.Fence, Action: ord.action,
			Proposals: ord.proposals(),
		}}, proposer{})
	}
}

// resolve determines the outcome of an unsettled order. An order of another process
// is observed. An order of this process is left to its sender while that is still
// working on it, and is otherwise sent again with the same fencing token.
func (o *orders) resolve(ord *order, outcome authority.Result) {
	own := outcome.Order.Holder == o.self() && o.l.m.enforces(ruleLeaveOwnOrders)
	if own && o.l.m.issuer.isInProgress(ord.server, outcome.Order.Fence) {
		return
	}
	o.issue(ord, outcome.Order, !own, outcome.Fence)
}

func (o *orders) onRecorded(cmd replicated.RecordOrder, result replicated.Result) {
	ord := o.byServer[cmd.Server]
	if ord == nil || ord.phase != orderRecording || cmd.Holder != o.self() {
		return
	}
	if result.Err != nil {
		o.finish(ord, result)
		return
	}
	ord.phase = orderIssued
	o.issue(ord, result.Authority.Order, false, result.Authority.Fence)
}

func (o *orders) issue(ord *order, recorded authority.Order, observe bool, fence uint64) {
	server, known := o.l.fleet.Server(ord.server)
	if !known {
		// The server is not known at the moment. The order is recovered when it
		// returns.
		ord.phase = orderAcquiring
		ord.recovering = true
		return
	}
	o.l.m.issuer.issue(IssueOrder{Server: server, Order: recorded, Observe: observe, Fence: fence})
}

func (o *orders) onSettled(cmd replicated.SettleOrder, result replicated.Result) {
	ord := o.byServer[cmd.Server]
	if ord == nil || result.Err != nil || !result.Authority.Order.State.Settled() {
		return
	}
	o.finish(ord, result)
}

// finish answers the proposers and lets the server receive work again.
func (o *orders) finish(ord *order, result replicated.Result) {
	delete(o.byServer, ord.server)
	for _, p := range ord.proposers {
		o.answer(p, orderResult(result))
	}
	o.l.pushView()
}

// orderIssuer issues orders and settles those that this process has sent or observed.
// It outlives the process's leadership, because the process that sends or observes an
// order also settles it.
type orderIssuer struct {
	m *Machine
	// inProgress holds, per server, the fencing token of the order that was sent or
	// observed last, until that order is settled.
	inProgress map[string]uint64
}

func (i *orderIssuer) issue(e IssueOrder) {
	i.inProgress[e.Server.ID] = e.Order.Fence
	i.m.emit(e)
}

func (i *orderIssuer) isInProgress(server string, fence uint64) bool {
	token, ok := i.inProgress[server]
	return ok && token == fence
}

// onOrderDone settles an order with its outcome and then releases the server's lock.
func (i *orderIssuer) onOrderDone(ev OrderDone) {
	self := authority.Holder{VM: i.m.cfg.Self.ID, Incarnation: i.m.cfg.Self.Incarnation}
	outcome := authority.Failed
	if ev.Applied {
		outcome = authority.Succeeded
	}
	settle := authority.SettleOrder{
		Server: ev.Server, Holder: self, Fence: ev.Fence, Outcome: outcome, Observed: ev.Observed,
	}
	i.settle(settle)
}

// settle records the outcome of an order. It retries while no leader answers; any
// other error, such as fault.Fenced after the lock was lost, ends the attempt.
func (i *orderIssuer) settle(cmd authority.SettleOrder) {
	i.m.proposals.propose(replicated.SettleOrder{SettleOrder: cmd}, func(res replicated.Result) {
		if res.Err != nil && fault.Is(res.Err, fault.NoQuorum) {
			i.settle(cmd)
			return
		}
		if i.isInProgress(cmd.Server, cmd.Fence) {
			delete(i.inProgress, cmd.Server)
		}
		if res.Err == nil {
			i.release(authority.Release{Server: cmd.Server, Holder: cmd.Holder})
		}
	})
}

func (i *orderIssuer) release(cmd authority.Release) {
	i.m.proposals.propose(replicated.ReleaseAuthority{Release: cmd}, func(res replicated.Result) {
		if res.Err != nil && fault.Is(res.Err, fault.NoQuorum) {
			i.release(cmd)
		}
	})
}
