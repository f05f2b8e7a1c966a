package authority

import (
	"slices"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Locks is the replicated state of all locks. Its operations are deterministic.
type Locks struct {
	servers map[string]*Server
	// dead maps a VM to its newest incarnation that an operator confirmed dead.
	dead          map[string]uint64
	confirmations []Confirmation
	// proposals is in the order in which they were recorded. It is replaced, never
	// modified, because snapshots share it.
	proposals []ProposedOrder
}

// New returns a state without locks.
func New() *Locks {
	return &Locks{servers: make(map[string]*Server), dead: make(map[string]uint64)}
}

// Server returns the lock record of a server.
func (l *Locks) Server(id string) (Server, bool) {
	s := l.servers[id]
	if s == nil {
		return Server{}, false
	}
	return *s, true
}

// Servers returns the lock records of all servers, sorted by id.
func (l *Locks) Servers() []Server {
	return l.Snapshot().Servers
}

// Confirmations returns the latest operator confirmations, oldest first. At most
// MaxConfirmations are kept.
func (l *Locks) Confirmations() []Confirmation {
	return slices.Clone(l.confirmations)
}

// Acquire grants the lock to a process. If checksFencing is set, the server
// rejects orders with an outdated fencing token, and a new grant with a higher
// token is safe at any time. Otherwise every earlier holder must have released
// the lock or be dead. A repeated request of the current holder issues no token
// and returns the last one issued for the server; it only removes former holders
// that are dead by now. An error leaves the state unchanged. Its kind is
// fault.Invalid, fault.Fenced for a process that is known to be dead,
// fault.Conflict while an earlier holder may be alive, or fault.Overloaded when
// a limit is reached.
func (l *Locks) Acquire(r Acquire, checksFencing bool) (Result, *fault.Error) {
	if err := r.check(); err != nil {
		return Result{}, err
	}
	if l.isConfirmedDead(r.Holder) || isSuperseded(r.Holder, r.Running) {
		return Result{}, errFenced(r.Holder)
	}
	old := l.servers[r.Server]
	if old == nil {
		return l.grantFirst(r)
	}
	alive, err := l.liveHolders(*old, r)
	if err != nil {
		return Result{}, err
	}
	next := *old
	next.FormerHolders = alive
	if old.Holder == r.Holder {
		l.servers[r.Server] = &next
		return newResult(next, true), nil
	}
	if len(alive) > 0 && !checksFencing {
		return Result{}, fault.New(fault.Conflict, part, "earlier holder %q (incarnation %d) may still be alive: it must release the lock, restart or be confirmed dead", alive[0].VM, alive[0].Incarnation)
	}
	if len(alive) > MaxFormerHolders {
		return Result{}, fault.New(fault.Overloaded, part, "more than %d former holders may still be alive", MaxFormerHolders)
	}
	next.Holder = r.Holder
	next.Fence++
	l.servers[r.Server] = &next
	return newResult(next, false), nil
}

func (l *Locks) grantFirst(r Acquire) (Result, *fault.Error) {
	if len(l.servers) >= MaxServers {
		return Result{}, fault.New(fault.Overloaded, part, "limit of %d servers reached", MaxServers)
	}
	s := Server{ID: r.Server, Holder: r.Holder, Fence: 1}
	l.servers[r.Server] = &s
	return newResult(s, false), nil
}

// liveHolders returns the current and former holders, other than the requester,
// that are neither confirmed dead nor superseded by a newer incarnation. It fails
// with fault.Fenced if a newer incarnation of the requester's VM is among the
// holders.
func (l *Locks) liveHolders(s Server, r Acquire) ([]Holder, *fault.Error) {
	earlier := slices.Clone(s.FormerHolders)
	if s.Holder != (Holder{}) {
		earlier = append(earlier, s.Holder)
	}
	running := append(slices.Clone(r.Running), r.Holder)
	var alive []Holder
	for _, h := range earlier {
		if isSuperseded(r.Holder, []Holder{h}) {
			return nil, errFenced(r.Holder)
		}
		if h != r.Holder && !l.isConfirmedDead(h) && !isSuperseded(h, running) {
			alive = append(alive, h)
		}
	}
	return alive, nil
}

func (l *Locks) isConfirmedDead(h Holder) bool { return h.Incarnation <= l.dead[h.VM] }

// isSuperseded reports whether others contains a newer incarnation of h.VM.
func isSuperseded(h Holder, others []Holder) bool {
	return slices.ContainsFunc(others, func(other Holder) bool {
		return other.VM == h.VM && other.Incarnation > h.Incarnation
	})
}

func errFenced(h Holder) *fault.Error {
	return fault.New(fault.Fenced, part, "the process on VM %q (incarnation %d) doesn't hold the lock or is known to be dead", h.VM, h.Incarnation)
}

func newResult(s Server, repeated bool) Result {
	return Result{Fence: s.Fence, Holder: s.Holder, Order: s.Order, Repeated: repeated}
}

// Release removes the process from the current and former holders of the lock.
// It fails with fault.Conflict while the holder's last order is unsettled and
// with fault.Invalid for a malformed request; an error leaves the state
// unchanged. Releasing a lock that isn't held is not an error.
func (l *Locks) Release(r Release) (Result, *fault.Error) {
	if err := checkServerAndHolder(r.Server, r.Holder); err != nil {
		return Result{}, err
	}
	old := l.servers[r.Server]
	if old == nil {
		return Result{Repeated: true}, nil
	}
	if old.Order.Holder == r.Holder && !old.Order.State.Settled() {
		return Result{}, errUnsettled(old.Order)
	}
	next, held := removeHolders(*old, func(h Holder) bool { return h == r.Holder })
	if !held {
		return newResult(*old, true), nil
	}
	l.servers[r.Server] = &next
	return newResult(next, false), nil
}

// removeHolders returns the record without its matching current and former
// holders, and whether there were any.
func removeHolders(s Server, matches func(Holder) bool) (Server, bool) {
	kept := slices.DeleteFunc(slices.Clone(s.FormerHolders), matches)
	found := len(kept) < len(s.FormerHolders)
	s.FormerHolders = kept
	if s.Holder != (Holder{}) && matches(s.Holder) {
		s.Holder = Holder{}
		found = true
	}
	return s, found
}

func errUnsettled(o Order) *fault.Error {
	return fault.New(fault.Conflict, part, "order %d is not settled yet", o.Fence)
}
