package authority

import (
	"slices"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Authority is the state. All its operations are deterministic.
type Authority struct {
	servers map[string]*Server
	// dead holds the newest incarnation per VM that an operator confirmed dead.
	dead          map[string]uint64
	confirmations []Confirmation
}

// New returns the state in which nobody holds any right.
func New() *Authority {
	return &Authority{servers: make(map[string]*Server), dead: make(map[string]uint64)}
}

// Server returns the record of a server.
func (a *Authority) Server(id string) (Server, bool) {
	s := a.servers[id]
	if s == nil {
		return Server{}, false
	}
	return *s, true
}

// Servers returns the records of all servers in order of id.
func (a *Authority) Servers() []Server {
	return a.Snapshot().Servers
}

// Confirmations returns the operators' statements that are still kept, oldest
// first.
func (a *Authority) Confirmations() []Confirmation {
	return slices.Clone(a.confirmations)
}

// Acquire grants the right to a process. checks says whether the server refuses
// orders with an old fencing number: then a new holder needs only a higher
// number. Otherwise every earlier holder must have released the right or be
// dead. An error changes nothing: its kind is fault.Invalid, fault.Fenced for a
// process that is known to be dead, fault.Conflict while an earlier holder may
// be alive, or fault.Overloaded at a bound.
func (a *Authority) Acquire(r Acquire, checks bool) (Outcome, *fault.Error) {
	if err := r.check(); err != nil {
		return Outcome{}, err
	}
	if a.isDead(r.Holder) || isDeadBy(r.Holder, r.Running) {
		return Outcome{}, fenced(r.Holder)
	}
	old := a.servers[r.Server]
	if old == nil {
		return a.first(r)
	}
	alive, err := a.stillAlive(*old, r)
	if err != nil {
		return Outcome{}, err
	}
	next := *old
	next.Former = alive
	if old.Holder == r.Holder {
		a.servers[r.Server] = &next
		return outcome(next, true), nil
	}
	if len(alive) > 0 && !checks {
		return Outcome{}, fault.New(fault.Conflict, part, "%s may still be alive under incarnation %d; it has to release, return or be confirmed dead", alive[0].VM, alive[0].Incarnation)
	}
	if len(alive) > MaxFormer {
		return Outcome{}, fault.New(fault.Overloaded, part, "%d former holders may be alive, the bound", MaxFormer)
	}
	next.Holder = r.Holder
	next.Fence++
	a.servers[r.Server] = &next
	return outcome(next, false), nil
}

func (a *Authority) first(r Acquire) (Outcome, *fault.Error) {
	if len(a.servers) >= MaxServers {
		return Outcome{}, fault.New(fault.Overloaded, part, "%d servers have a record, the bound", MaxServers)
	}
	s := Server{ID: r.Server, Holder: r.Holder, Fence: 1}
	a.servers[r.Server] = &s
	return outcome(s, false), nil
}

// stillAlive returns the earlier holders that are not known to be dead, apart
// from the requester. A requester older than a holder of its own VM is dead.
func (a *Authority) stillAlive(s Server, r Acquire) ([]Holder, *fault.Error) {
	earlier := slices.Clone(s.Former)
	if s.Holder != (Holder{}) {
		earlier = append(earlier, s.Holder)
	}
	running := append(slices.Clone(r.Running), r.Holder)
	var alive []Holder
	for _, h := range earlier {
		if isDeadBy(r.Holder, []Holder{h}) {
			return nil, fenced(r.Holder)
		}
		if h != r.Holder && !a.isDead(h) && !isDeadBy(h, running) {
			alive = append(alive, h)
		}
	}
	return alive, nil
}

func (a *Authority) isDead(h Holder) bool { return h.Incarnation <= a.dead[h.VM] }

// isDeadBy reports whether a newer process of the same VM is among those named.
func isDeadBy(h Holder, running []Holder) bool {
	return slices.ContainsFunc(running, func(other Holder) bool {
		return other.VM == h.VM && other.Incarnation > h.Incarnation
	})
}

func fenced(h Holder) *fault.Error {
	return fault.New(fault.Fenced, part, "the process of %s under incarnation %d has lost its authority", h.VM, h.Incarnation)
}

func outcome(s Server, repeated bool) Outcome {
	return Outcome{Fence: s.Fence, Holder: s.Holder, Order: s.Order, Repeated: repeated}
}

// Release gives the right up, also that of a former holder. The order of the
// holder must be settled first. An error changes nothing: its kind is
// fault.Invalid or fault.Conflict. Releasing a right that is not held is no error.
func (a *Authority) Release(r Release) (Outcome, *fault.Error) {
	if err := checkBoth(r.Server, r.Holder); err != nil {
		return Outcome{}, err
	}
	old := a.servers[r.Server]
	if old == nil {
		return Outcome{Repeated: true}, nil
	}
	if old.Order.Holder == r.Holder && !old.Order.State.Settled() {
		return Outcome{}, unsettled(old.Order)
	}
	next, held := without(*old, func(h Holder) bool { return h == r.Holder })
	if !held {
		return outcome(*old, true), nil
	}
	a.servers[r.Server] = &next
	return outcome(next, false), nil
}

// without returns the record without the holders that match, and whether there
// were any.
func without(s Server, match func(Holder) bool) (Server, bool) {
	kept := slices.DeleteFunc(slices.Clone(s.Former), match)
	found := len(kept) < len(s.Former)
	s.Former = kept
	if s.Holder != (Holder{}) && match(s.Holder) {
		s.Holder = Holder{}
		found = true
	}
	return s, found
}

func unsettled(o Order) *fault.Error {
	return fault.New(fault.Conflict, part, "order %d has no settled outcome", o.Fence)
}
