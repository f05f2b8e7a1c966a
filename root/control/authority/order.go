package authority

import (
	"github.com/wagtaildyke/wagtaildyke/fault"
)

// RecordOrder gives a new order its fencing number. A repeated delivery gets
// the first number again. An error changes nothing: its kind is fault.Invalid,
// fault.Fenced for a process that doesn't hold the right, or fault.Conflict
// while an order is unsettled, After is not the last number given out, or a
// former holder may still reach a server that ignores fencing numbers.
func (a *Authority) RecordOrder(r RecordOrder, checks bool) (Outcome, *fault.Error) {
	if err := r.check(); err != nil {
		return Outcome{}, err
	}
	old, err := a.held(r.Server, r.Holder)
	if err != nil {
		return Outcome{}, err
	}
	if old.Order.repeats(r) {
		return Outcome{Fence: old.Order.Fence, Holder: old.Holder, Order: old.Order, Repeated: true}, nil
	}
	if !old.Order.State.Settled() {
		return Outcome{}, unsettled(old.Order)
	}
	if r.After != old.Fence {
		return Outcome{}, fault.New(fault.Conflict, part, "the last fencing number is %d, not %d", old.Fence, r.After)
	}
	if former := a.formerAlive(*old); former != nil && !checks {
		return Outcome{}, fault.New(fault.Conflict, part, "%s may still reach the server under incarnation %d", former.VM, former.Incarnation)
	}
	next := *old
	next.Fence++
	next.Order = Order{Fence: next.Fence, After: r.After, Holder: r.Holder, Action: r.Action, State: Issued}
	a.servers[r.Server] = &next
	return outcome(next, false), nil
}

func (o Order) repeats(r RecordOrder) bool {
	return o.State != NoOrder && o.Holder == r.Holder && o.After == r.After && o.Action == r.Action
}

func (a *Authority) formerAlive(s Server) *Holder {
	for _, h := range s.Former {
		if !a.isDead(h) {
			return &h
		}
	}
	return nil
}

// held returns the record of a server that the process holds the right for.
func (a *Authority) held(server string, h Holder) (*Server, *fault.Error) {
	s := a.servers[server]
	if s == nil || s.Holder != h || a.isDead(h) {
		return nil, fenced(h)
	}
	return s, nil
}

// SettleOrder records the outcome of the last order. Only the present holder
// may do so, once it knows that the order can't take effect later. An error
// changes nothing: its kind is fault.Invalid, fault.Fenced for a process that
// doesn't hold the right, or fault.Conflict for an order other than the last or
// one that was settled otherwise.
func (a *Authority) SettleOrder(r SettleOrder) (Outcome, *fault.Error) {
	if err := r.check(); err != nil {
		return Outcome{}, err
	}
	old, err := a.held(r.Server, r.Holder)
	if err != nil {
		return Outcome{}, err
	}
	if old.Order.State == NoOrder || old.Order.Fence != r.Fence {
		return Outcome{}, fault.New(fault.Conflict, part, "order %d is not the last order", r.Fence)
	}
	repeated := old.Order.State == r.Outcome
	if old.Order.State.Settled() && !repeated {
		return Outcome{}, fault.New(fault.Conflict, part, "order %d was settled otherwise", r.Fence)
	}
	next := *old
	if !repeated {
		next.Order.State = r.Outcome
		next.Order.Observed = r.Observed
	}
	a.servers[r.Server] = &next
	return Outcome{Fence: r.Fence, Holder: next.Holder, Order: next.Order, Repeated: repeated}, nil
}

// ConfirmDead takes an operator's word that a process is dead. For all servers
// it is remembered, and the process can never acquire again. An error changes
// nothing: its kind is fault.Invalid or fault.Overloaded.
func (a *Authority) ConfirmDead(c ConfirmDead) (Outcome, *fault.Error) {
	if err := c.check(); err != nil {
		return Outcome{}, err
	}
	match := func(h Holder) bool { return h.VM == c.VM && h.Incarnation <= c.Incarnation }
	if c.Server != "" {
		out := a.clear(c.Server, match)
		a.noteConfirmation(c)
		return out, nil
	}
	if _, known := a.dead[c.VM]; !known && len(a.dead) >= MaxVMs {
		return Outcome{}, fault.New(fault.Overloaded, part, "dead processes of %d VMs are remembered, the bound", MaxVMs)
	}
	a.dead[c.VM] = max(a.dead[c.VM], c.Incarnation)
	for id := range a.servers {
		a.clear(id, match)
	}
	a.noteConfirmation(c)
	return Outcome{}, nil
}

func (a *Authority) clear(server string, match func(Holder) bool) Outcome {
	old := a.servers[server]
	if old == nil {
		return Outcome{}
	}
	next, found := without(*old, match)
	if found {
		a.servers[server] = &next
	}
	return outcome(next, false)
}

func (a *Authority) noteConfirmation(c ConfirmDead) {
	a.confirmations = append(a.confirmations, c)
	if len(a.confirmations) > MaxConfirmations {
		a.confirmations = a.confirmations[1:]
	}
}
