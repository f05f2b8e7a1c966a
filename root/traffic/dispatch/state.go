package dispatch

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/admission"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/scheduling"
)

const part = "traffic/dispatch"

const (
	// retryRatio is the number of retries earned by each first attempt.
	retryRatio = 0.1
	// retryBurst bounds the retries that can be saved up.
	retryBurst = 10
)

// Refused is a waiting request that will not run.
type Refused struct {
	ID  uint64
	Err *fault.Error
}

// waiting is a request in line.
type waiting struct {
	work scheduling.Request
	// maxOutput bounds the answer, in tokens; 0 is no bound.
	maxOutput int
	// allowed is the time from arrival to deadline.
	allowed time.Duration
}

// granted is a request with a place.
type granted struct {
	run *scheduling.Run
}

// State holds one entry's decisions: the line and the servers. It is pure;
// callers serialise access and pass the time.
type State struct {
	self    string
	view    *view.View
	core    *admission.Core
	sched   *scheduling.Scheduler
	entries int
	shares  map[string]float64
	nextID  uint64
	line    map[uint64]*waiting
	held    map[uint64]*granted
	retries admission.RetryBudget
}

// NewState returns the state of one of the given number of entries. self is
// its VM's id, by which it finds its rank among the entries of a view. Equal
// seeds make equal choices.
func NewState(self string, entries int, seed uint64) *State {
	return &State{
		self:    self,
		core:    admission.NewCore(),
		sched:   scheduling.New(entries, seed),
		entries: max(1, entries),
		shares:  map[string]float64{},
		line:    map[uint64]*waiting{},
		held:    map[uint64]*granted{},
		retries: admission.RetryBudget{Ratio: retryRatio, Burst: retryBurst},
	}
}

// SetView applies a view. It returns the waiting requests whose class is gone.
func (s *State) SetView(v *view.View) []Refused {
	if v == nil || v == s.view {
		return nil
	}
	s.view = v
	s.sched.SetServers(v.Servers)
	s.rank(v.VMs)
	refused := s.applyClasses()
	s.core.UpdateServiceTimes(s.service)
	return refused
}

// rank finds this entry among the view's entries. An entry that the view does
// not hold keeps its rank.
func (s *State) rank(vms []fleet.VM) {
	index, entries, found := 0, 0, false
	for _, vm := range vms {
		if vm.Address == "" || vm.State == fleet.Leaving {
			continue
		}
		entries++
		if vm.ID < s.self {
			index++
		}
		found = found || vm.ID == s.self
	}
	if found {
		s.entries = entries
		s.sched.SetEntries(index, entries)
	}
}

// SetShares sets the leased parts of the classes' fleet-wide limits, 0 to 1. A
// class that is not named keeps an even part.
func (s *State) SetShares(shares map[string]float64) []Refused {
	s.shares = shares
	if s.view == nil {
		return nil
	}
	return s.applyClasses()
}

func (s *State) applyClasses() []Refused {
	return s.refuse(s.core.SetClasses(s.view.Table.Classes, s.share))
}

func (s *State) share(class string) (float64, bool) {
	if leased, ok := s.shares[class]; ok {
		return leased, true
	}
	return 1 / float64(s.entries), false
}

// Arrive puts a request in line and returns its ticket, or refuses it. Call
// Grants next, then Settle.
func (s *State) Arrive(now time.Time, r Request) (uint64, *fault.Error) {
	if err := s.ready(now); err != nil {
		return 0, err
	}
	class, ok := s.view.Table.Class(r.Class)
	if !ok {
		return 0, fault.New(fault.NotFound, part, "no class %q", r.Class)
	}
	if !class.Allows(r.Target) {
		return 0, fault.New(fault.NotFound, part, "class %q has no target %q", r.Class, r.Target)
	}
	work, item := s.describe(now, class, r)
	if err := s.offered(&work); err != nil {
		return 0, err
	}
	if refusal, ok := s.core.Enqueue(now, item); !ok {
		return 0, refusalError(refusal)
	}
	s.line[item.ID] = &waiting{
		work: work, maxOutput: r.MaxOutputTokens, allowed: item.Deadline.Sub(item.Arrived),
	}
	return item.ID, nil
}

// Grants places what can run now and refuses what can no longer meet its
// deadline.
func (s *State) Grants(now time.Time) ([]Grant, []Refused) {
	refused := s.refuse(s.core.Expire(now))
	if s.view == nil || !now.Before(s.view.LeaseUntil) {
		return nil, refused
	}
	var grants []Grant
	full := map[need]bool{}
	for {
		g, ok := s.grantOne(now, full)
		if !ok {
			return grants, refused
		}
		grants = append(grants, g)
	}
}

// need is what decides whether any server has room for a request.
type need struct {
	target string
	stage  scheduling.Stage
	long   bool
}

// grantOne places one request. full remembers the needs that found no room in
// this pass, in which room only shrinks.
func (s *State) grantOne(now time.Time, full map[need]bool) (Grant, bool) {
	var g Grant
	item, ok := s.core.Grant(now, func(it admission.Item) bool {
		w := &s.line[it.ID].work
		n := need{w.Target, w.Stage, w.Long}
		if full[n] {
			return false
		}
		server, found := s.sched.Pick(now, w)
		full[n] = !found && len(w.Exclude) == 0
		g.Server = server
		return found
	})
	if !ok {
		return Grant{}, false
	}
	work := s.line[item.ID].work
	delete(s.line, item.ID)
	g.ID = item.ID
	g.Class, _ = s.view.Table.Class(item.Class)
	g.hedgeAfter = s.sched.HedgeAfter(&work)
	g.run = s.sched.Begin(now, work, g.Server.ID)
	s.held[item.ID] = &granted{run: g.run}
	return g, true
}

// Settle refuses the request again when it still waits in a full queue.
func (s *State) Settle(now time.Time, id uint64) (*fault.Error, bool) {
	w := s.line[id]
	if w == nil {
		return nil, true
	}
	refusal, over := s.core.RefuseOverflow(now, id, w.work.Class)
	if !over {
		return nil, true
	}
	delete(s.line, id)
	return refusalError(refusal), false
}

// Cancel takes a waiting request out of line and reports whether it still
// waited.
func (s *State) Cancel(id uint64) bool {
	w := s.line[id]
	if w == nil {
		return false
	}
	delete(s.line, id)
	return s.core.Cancel(id, w.work.Class)
}

// Tokens counts n output tokens of a granted request, observed now.
func (s *State) Tokens(now time.Time, id uint64, n int) {
	if h := s.held[id]; h != nil {
		h.run.ObserveTokens(now, n)
	}
}

// Slow reports whether a granted request's server has become so slow that
// moving the rest of the answer is worthwhile.
func (s *State) Slow(now time.Time, id uint64) bool {
	h := s.held[id]
	return h != nil && h.run.Slow(now)
}

// Done ends a granted request. Later calls do nothing.
func (s *State) Done(now time.Time, id uint64, outcome Outcome) {
	h := s.held[id]
	if h == nil {
		return
	}
	delete(s.held, id)
	h.run.End(now, outcome == Succeeded)
	s.core.Release(now, id, h.run.Cost())
	if outcome == Succeeded {
		s.retries.Deposit()
	}
}

// TakeRetry spends one retry of the budget.
func (s *State) TakeRetry() bool { return s.retries.TryWithdraw() }

// NextWake returns the time at which Grants may decide otherwise without any
// other event; false when none is known.
func (s *State) NextWake() (time.Time, bool) { return s.core.NextExpiry() }

// Own returns this entry's load on each backend server that it uses.
func (s *State) Own() []ServerLoad { return s.sched.OwnLoads() }

// Demand returns this entry's demand for each class.
func (s *State) Demand(now time.Time) []ClassDemand {
	loads := s.core.Loads(now)
	out := make([]ClassDemand, 0, len(loads))
	for _, l := range loads {
		out = append(out, ClassDemand{Class: l.Class, Running: l.Running, Waiting: l.Waiting, Rate: l.Rate})
	}
	return out
}
