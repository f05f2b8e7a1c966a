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
	// retryRatio is the number of retries that each successful request adds to the
	// retry budget.
	retryRatio = 0.1
	// retryBurst bounds the balance of the retry budget, in retries.
	retryBurst = 10
)

// Refused is a queued request that will not run.
type Refused struct {
	ID  uint64
	Err *fault.Error
}

// queuedRequest is a request in the queue.
type queuedRequest struct {
	request scheduling.Request
	// maxOutput bounds the response, in tokens; 0 means no bound.
	maxOutput int
	// timeLimit is the time from arrival to deadline. Without a deadline it is a large
	// negative duration, and the reserved time computed from it is not used.
	timeLimit time.Duration
}

// runningRequest is a granted request that has not ended.
type runningRequest struct {
	run *scheduling.Run
}

// State decides which requests of one entry run and on which backend servers. It is
// pure: callers serialise access and pass the time.
type State struct {
	self    string
	view    *view.View
	core    *admission.Core
	sched   *scheduling.Scheduler
	entries int
	// shares holds the shares of the classes' limits that the leader leased to this
	// entry, by class.
	shares map[string]float64
	// lastID is the id of the newest request.
	lastID  uint64
	queued  map[uint64]*queuedRequest
	running map[uint64]*runningRequest
	retries admission.RetryBudget
	// suspended is how long this VM was suspended.
	suspended time.Duration
}

// NewState returns the state of one of the given number of entries. self is its VM's
// id, by which it finds its rank among the entries of a view; see updateRank. States
// with equal seeds make the same random choices.
func NewState(self string, entries int, seed uint64) *State {
	return &State{
		self:    self,
		core:    admission.NewCore(),
		sched:   scheduling.New(entries, seed),
		entries: max(1, entries),
		shares:  map[string]float64{},
		queued:  map[uint64]*queuedRequest{},
		running: map[uint64]*runningRequest{},
		retries: admission.RetryBudget{Ratio: retryRatio, Burst: retryBurst},
	}
}

// SetView applies a view. It refuses the queued requests whose class was removed.
func (s *State) SetView(v *view.View) []Refused {
	if v == nil || v == s.view {
		return nil
	}
	s.view = v
	s.sched.SetServers(v.Servers)
	s.updateRank(v.VMs)
	refused := s.applyClasses()
	s.core.UpdateReservedTimes(s.reservedTimeByID)
	return refused
}

// SetSuspended sets how long this VM was suspended. Leases have run on meanwhile, unlike
// the clock of the times that are passed to State.
func (s *State) SetSuspended(d time.Duration) { s.suspended = d }

// leaseTime returns the time by the clock of leases.
func (s *State) leaseTime(now time.Time) time.Time { return now.Add(s.suspended) }

// updateRank sets this entry's rank to that among the view's entries in order of their
// VMs' ids. The rank decides on which servers the entry gets a slot that is left over
// when the server's slots don't divide evenly among the entries. An entry that is
// leaving, has no address or is not in the view keeps its rank.
func (s *State) updateRank(vms []fleet.VM) {
	rank, entries, found := 0, 0, false
	for _, vm := range vms {
		if vm.Address == "" || vm.State == fleet.Leaving {
			continue
		}
		entries++
		if vm.ID < s.self {
			rank++
		}
		found = found || vm.ID == s.self
	}
	if found {
		s.entries = entries
		s.sched.SetEntries(rank, entries)
	}
}

// SetShares sets the shares, 0 to 1, of the classes' fleet-wide limits that the leader
// leased to this entry, by class. A class without a share gets an even one.
func (s *State) SetShares(shares map[string]float64) []Refused {
	s.shares = shares
	if s.view == nil {
		return nil
	}
	return s.applyClasses()
}

func (s *State) applyClasses() []Refused {
	return s.removeRefused(s.core.SetClasses(s.view.Table.Classes, s.share))
}

// share returns this entry's share of a class's limits and whether it is leased.
func (s *State) share(class string) (float64, bool) {
	if leased, ok := s.shares[class]; ok {
		return leased, true
	}
	return 1 / float64(s.entries), false
}

// Enqueue adds a request to the queue and returns an id for it, or refuses it. The
// caller calls Dispatch next and then ApplyQueueLimit.
func (s *State) Enqueue(now time.Time, r Request) (uint64, *fault.Error) {
	if err := s.checkReady(now); err != nil {
		return 0, err
	}
	class, ok := s.view.Table.Class(r.Class)
	if !ok {
		return 0, fault.New(fault.NotFound, part, "class %q is not in the table", r.Class)
	}
	if !class.Allows(r.Target) {
		return 0, fault.New(fault.NotFound, part, "class %q does not allow %q", r.Class, r.Target)
	}
	req, item := s.prepare(now, class, r)
	if err := s.checkOffered(&req); err != nil {
		return 0, err
	}
	if refusal, ok := s.core.Enqueue(now, item); !ok {
		return 0, refusalError(refusal)
	}
	s.queued[item.ID] = &queuedRequest{
		request: req, maxOutput: r.MaxOutputTokens, timeLimit: item.Deadline.Sub(item.Arrived),
	}
	return item.ID, nil
}

// Dispatch refuses the queued requests that can't meet their deadline any more and,
// until the view's lease expires, grants all that can run now.
func (s *State) Dispatch(now time.Time) ([]Grant, []Refused) {
	refused := s.removeRefused(s.core.Expire(now))
	if s.view == nil || !s.leaseTime(now).Before(s.view.LeaseUntil) {
		return nil, refused
	}
	var grants []Grant
	full := map[capacityKey]bool{}
	for {
		g, ok := s.grantOne(now, full)
		if !ok {
			return grants, refused
		}
		grants = append(grants, g)
	}
}

// capacityKey holds what decides whether any server has a free slot for a request
// without excluded servers.
type capacityKey struct {
	target string
	stage  scheduling.Stage
	long   bool
}

// grantOne grants the next request that can run. full holds the keys for which no
// server had a free slot in this pass; no slot becomes free during a pass.
func (s *State) grantOne(now time.Time, full map[capacityKey]bool) (Grant, bool) {
	var g Grant
	item, ok := s.core.Grant(now, func(it admission.Item) bool {
		req := &s.queued[it.ID].request
		key := capacityKey{req.Target, req.Stage, req.Long}
		if full[key] {
			return false
		}
		server, found := s.sched.Pick(now, req)
		full[key] = !found && len(req.Exclude) == 0
		g.Server = server
		return found
	})
	if !ok {
		return Grant{}, false
	}
	request := s.queued[item.ID].request
	delete(s.queued, item.ID)
	g.ID = item.ID
	g.Class, _ = s.view.Table.Class(item.Class)
	g.hedgeAfter = s.sched.HedgeAfter(&request)
	g.run = s.sched.Begin(now, request, g.Server.ID)
	s.running[item.ID] = &runningRequest{run: g.run}
	return g, true
}

// ApplyQueueLimit refuses a request that still waits in a queue longer than its limit.
// It returns the error and false if it refused the request, and nil and true if not.
func (s *State) ApplyQueueLimit(now time.Time, id uint64) (*fault.Error, bool) {
	q := s.queued[id]
	if q == nil {
		return nil, true
	}
	refusal, over := s.core.RefuseOverflow(now, id, q.request.Class)
	if !over {
		return nil, true
	}
	delete(s.queued, id)
	return refusalError(refusal), false
}

// Cancel removes a queued request. It returns false if the request is not queued.
func (s *State) Cancel(id uint64) bool {
	q := s.queued[id]
	if q == nil {
		return false
	}
	delete(s.queued, id)
	return s.core.Cancel(id, q.request.Class)
}

// ObserveTokens records n output tokens of a granted request, received now.
func (s *State) ObserveTokens(now time.Time, id uint64, n int) {
	if r := s.running[id]; r != nil {
		r.run.ObserveTokens(now, n)
	}
}

// Slow reports whether a granted request's server has become so slow that
// moving the rest of the response to another server is worthwhile.
func (s *State) Slow(now time.Time, id uint64) bool {
	r := s.running[id]
	return r != nil && r.run.Slow(now)
}

// Done ends a granted request. Later calls do nothing.
func (s *State) Done(now time.Time, id uint64, outcome Outcome) {
	r := s.running[id]
	if r == nil {
		return
	}
	delete(s.running, id)
	r.run.End(now, outcome == Succeeded)
	s.core.Release(now, id, r.run.Cost())
	if outcome == Succeeded {
		s.retries.Deposit()
	}
}

// TakeRetry takes one retry from the retry budget and reports whether it had one.
func (s *State) TakeRetry() bool { return s.retries.Take() }

// NextWake returns the time at which Dispatch must be called if no other event comes
// first: just after it, the next queued request expires. It returns false if no queued
// request has a deadline.
func (s *State) NextWake() (time.Time, bool) { return s.core.NextExpiry() }

// OwnLoads returns this entry's load on each backend server that it uses.
func (s *State) OwnLoads() []OwnLoad { return s.sched.OwnLoads() }

// ClassDemands returns this entry's demand for each class.
func (s *State) ClassDemands(now time.Time) []ClassDemand {
	loads := s.core.Loads(now)
	out := make([]ClassDemand, 0, len(loads))
	for _, l := range loads {
		out = append(out, ClassDemand{Class: l.Class, Running: l.Running, Waiting: l.Waiting, Rate: l.Rate})
	}
	return out
}
