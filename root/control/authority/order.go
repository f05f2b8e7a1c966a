package authority

import (
	"github.com/wagtaildyke/wagtaildyke/fault"
)

// RecordOrder records a new order and assigns its fencing token. A repeated
// request for the last order returns the same token. An error leaves the state
// unchanged. Its kind is fault.Invalid, fault.Fenced for a process that doesn't
// hold the lock, or fault.Conflict while the last order is unsettled, if After
// is not the last token issued, or while a former holder may still send orders
// to a server that ignores fencing tokens.
func (l *Locks) RecordOrder(r RecordOrder, checksFencing bool) (Result, *fault.Error) {
	if err := r.check(); err != nil {
		return Result{}, err
	}
	old, err := l.serverHeldBy(r.Server, r.Holder)
	if err != nil {
		return Result{}, err
	}
	if old.Order.isDuplicateOf(r) {
		l.recordProposals(r.Proposals, r.Server, old.Order, r.At)
		return Result{Fence: old.Order.Fence, Holder: old.Holder, Order: old.Order, Repeated: true}, nil
	}
	if !old.Order.State.Settled() {
		return Result{}, errUnsettled(old.Order)
	}
	if r.After != old.Fence {
		return Result{}, fault.New(fault.Conflict, part, "the last fencing token is %d, not %d", old.Fence, r.After)
	}
	if former := l.unconfirmedFormerHolder(*old); former != nil && !checksFencing {
		return Result{}, fault.New(fault.Conflict, part, "former holder %q (incarnation %d) may still send orders to the server", former.VM, former.Incarnation)
	}
	next := *old
	next.Fence++
	next.Order = Order{Fence: next.Fence, After: r.After, Holder: r.Holder, Action: r.Action, State: Issued}
	l.servers[r.Server] = &next
	l.recordProposals(r.Proposals, r.Server, next.Order, r.At)
	return newResult(next, false), nil
}

// isDuplicateOf reports whether r is a retry of the request that recorded o.
func (o Order) isDuplicateOf(r RecordOrder) bool {
	return o.State != NoOrder && o.Holder == r.Holder && o.After == r.After && o.Action == r.Action
}

// unconfirmedFormerHolder returns the first former holder that isn't confirmed
// dead, or nil. A former holder that a newer incarnation has superseded counts
// until the next Acquire removes it.
func (l *Locks) unconfirmedFormerHolder(s Server) *Holder {
	for _, h := range s.FormerHolders {
		if !l.isConfirmedDead(h) {
			return &h
		}
	}
	return nil
}

// serverHeldBy returns the record of a server whose lock h holds, or fails with
// fault.Fenced.
func (l *Locks) serverHeldBy(server string, h Holder) (*Server, *fault.Error) {
	s := l.servers[server]
	if s == nil || s.Holder != h || l.isConfirmedDead(h) {
		return nil, errFenced(h)
	}
	return s, nil
}

// SettleOrder records the outcome of the last order. Only the current holder may
// do so. Succeeded and Failed settle the order. The holder may report them only if
// the order has taken effect or can't any more. OutcomeUnknown leaves the order
// unsettled. An error leaves the state unchanged. Its kind is fault.Invalid, fault.Fenced for a process that
// doesn't hold the lock, or fault.Conflict for an order other than the last or one
// that already has a different outcome.
func (l *Locks) SettleOrder(r SettleOrder) (Result, *fault.Error) {
	if err := r.check(); err != nil {
		return Result{}, err
	}
	old, err := l.serverHeldBy(r.Server, r.Holder)
	if err != nil {
		return Result{}, err
	}
	if old.Order.State == NoOrder || old.Order.Fence != r.Fence {
		return Result{}, fault.New(fault.Conflict, part, "order %d is not the last order", r.Fence)
	}
	repeated := old.Order.State == r.Outcome
	if old.Order.State.Settled() && !repeated {
		return Result{}, fault.New(fault.Conflict, part, "order %d already has a different outcome", r.Fence)
	}
	next := *old
	if !repeated {
		next.Order.State = r.Outcome
		next.Order.Observed = r.Observed
	}
	l.servers[r.Server] = &next
	l.recordProposals(r.Proposals, r.Server, next.Order, r.At)
	return Result{Fence: r.Fence, Holder: next.Holder, Order: next.Order, Repeated: repeated}, nil
}

// ConfirmDead removes a process that an operator confirmed dead, and its earlier
// incarnations, from the holders of one server or of all servers. A confirmation
// for all servers is permanent: the process can't acquire any lock again. An
// error leaves the state unchanged; its kind is fault.Invalid or
// fault.Overloaded.
func (l *Locks) ConfirmDead(c ConfirmDead) (Result, *fault.Error) {
	if err := c.check(); err != nil {
		return Result{}, err
	}
	matches := func(h Holder) bool { return h.VM == c.VM && h.Incarnation <= c.Incarnation }
	if c.Server != "" {
		out := l.removeServerHolders(c.Server, matches)
		l.appendConfirmation(c)
		return out, nil
	}
	if _, known := l.dead[c.VM]; !known && len(l.dead) >= MaxVMs {
		return Result{}, fault.New(fault.Overloaded, part, "limit of %d VMs with dead processes reached", MaxVMs)
	}
	l.dead[c.VM] = max(l.dead[c.VM], c.Incarnation)
	for id := range l.servers {
		l.removeServerHolders(id, matches)
	}
	l.appendConfirmation(c)
	return Result{}, nil
}

func (l *Locks) removeServerHolders(server string, matches func(Holder) bool) Result {
	old := l.servers[server]
	if old == nil {
		return Result{}
	}
	next, found := removeHolders(*old, matches)
	if found {
		l.servers[server] = &next
	}
	return newResult(next, false)
}

func (l *Locks) appendConfirmation(c ConfirmDead) {
	l.confirmations = append(l.confirmations, c)
	if len(l.confirmations) > MaxConfirmations {
		l.confirmations = l.confirmations[1:]
	}
}
