package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// Options are the settings of a dispatcher.
type Options struct {
	// Views holds the picture of control state.
	Views *view.Store
	// Seed seeds the random choices.
	Seed uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Self is this VM's id; it finds the entry's rank in the view.
	Self string
	// Entries is the number of entries that share the fleet, at least 1; a view
	// that holds Self replaces it.
	Entries int
}

// result ends one wait in line.
type result struct {
	grant Grant
	err   *fault.Error
}

// Dispatcher gives requests places on backend servers. Its methods may be
// called from any goroutine; none holds its lock while waiting.
type Dispatcher struct {
	views *view.Store
	now   func() time.Time

	mu      sync.Mutex
	state   *State
	waiters map[uint64]chan result
	timer   *time.Timer
	timerAt time.Time
	stats   Stats
}

// New returns a dispatcher without work.
func New(o Options) *Dispatcher {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Dispatcher{
		views:   o.Views,
		now:     o.Now,
		state:   NewState(o.Self, o.Entries, o.Seed),
		waiters: map[uint64]chan result{},
	}
}

// Acquire waits in line until the request has a place. It returns a
// *fault.Error that says that the work has not run: not_found, rate_limited,
// too_large, overloaded, deadline_exceeded, no_backend, not_ready, stopping or
// cancelled.
func (d *Dispatcher) Acquire(ctx context.Context, r Request) (*Lease, error) {
	id, wait, err := d.arrive(ctx, r)
	if err != nil {
		return nil, err
	}
	select {
	case res := <-wait:
		return d.finish(res)
	case <-ctx.Done():
		return d.abandon(ctx, id, wait)
	}
}

// arrive puts the request in line and serves the line once.
func (d *Dispatcher) arrive(ctx context.Context, r Request) (uint64, chan result, error) {
	if ctx.Err() != nil {
		return 0, nil, contextError(ctx)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyView()
	now := d.now()
	id, refused := d.state.Arrive(now, r)
	if refused != nil {
		d.stats.refuse(refused.Kind)
		return 0, nil, refused
	}
	wait := make(chan result, 1)
	d.waiters[id] = wait
	d.serve(now)
	if refused, ok := d.state.Settle(now, id); !ok {
		delete(d.waiters, id)
		d.stats.refuse(refused.Kind)
		return 0, nil, refused
	}
	return id, wait, nil
}

// abandon leaves the line. A place granted meanwhile is given back unused.
func (d *Dispatcher) abandon(ctx context.Context, id uint64, wait chan result) (*Lease, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state.Cancel(id) {
		delete(d.waiters, id)
	} else if res := <-wait; res.err == nil {
		d.state.Done(d.now(), id, Cancelled)
	}
	err := contextError(ctx)
	d.stats.refuse(err.Kind)
	d.serve(d.now())
	return nil, err
}

// contextError maps the end of the caller's context. The work never ran.
func contextError(ctx context.Context) *fault.Error {
	kind, msg := fault.Cancelled, "cancelled while in line"
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind, msg = fault.DeadlineExceeded, "the deadline passed while in line"
	}
	return fault.Wrap(ctx.Err(), kind, part, "%s", msg).WithRan(fault.RanNo)
}

func (d *Dispatcher) finish(res result) (*Lease, error) {
	if res.err != nil {
		return nil, res.err
	}
	return &Lease{d: d, grant: res.grant}, nil
}

// Retry returns a place on another server for a request whose lease failed or
// is slow; the caller still ends that lease. Only idempotent classes may retry,
// within the retry budget. Its errors say that the outcome is unknown, because
// the first attempt may have run.
func (d *Dispatcher) Retry(ctx context.Context, l *Lease, r Request) (*Lease, error) {
	if !l.grant.Class.Idempotent {
		return nil, fault.New(fault.OutcomeUnknown, part, "class %q is not idempotent", r.Class)
	}
	d.mu.Lock()
	allowed := d.state.TakeRetry()
	d.stats.retry(allowed)
	d.mu.Unlock()
	if !allowed {
		return nil, fault.New(fault.Overloaded, part, "the retry budget is used up").WithRan(fault.RanUnknown)
	}
	r.Exclude = append(slices.Clone(r.Exclude), l.grant.Server.ID)
	next, err := d.Acquire(ctx, r)
	if err != nil {
		return nil, fault.From(err).WithRan(fault.RanUnknown)
	}
	return next, nil
}

// ViewChanged applies a newly published view and serves the line.
func (d *Dispatcher) ViewChanged() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyView()
	d.serve(d.now())
}

// SetShares sets the leased parts, 0 to 1, of the classes' fleet-wide limits.
func (d *Dispatcher) SetShares(shares map[string]float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(nil, d.state.SetShares(shares))
	d.serve(d.now())
}

// applyView takes over the current view. The lock is held.
func (d *Dispatcher) applyView() {
	d.deliver(nil, d.state.SetView(d.views.Load()))
}

// serve grants what can run and arms the timer. The lock is held.
func (d *Dispatcher) serve(now time.Time) {
	d.deliver(d.state.Grants(now))
	d.arm(now)
}

func (d *Dispatcher) deliver(grants []Grant, refused []Refused) {
	for _, g := range grants {
		d.stats.Granted++
		d.answer(g.ID, result{grant: g})
	}
	for _, r := range refused {
		d.stats.refuse(r.Err.Kind)
		d.answer(r.ID, result{err: r.Err})
	}
}

// answer ends one wait. The channel has room for its only result.
func (d *Dispatcher) answer(id uint64, res result) {
	d.waiters[id] <- res
	delete(d.waiters, id)
}

// arm sets the timer to the next time at which a waiting request expires.
func (d *Dispatcher) arm(now time.Time) {
	at, ok := d.state.NextWake()
	if !ok || at.Equal(d.timerAt) {
		return
	}
	d.timerAt = at
	wait := max(0, at.Sub(now)) + time.Millisecond
	if d.timer == nil {
		d.timer = time.AfterFunc(wait, d.wake)
		return
	}
	d.timer.Reset(wait)
}

func (d *Dispatcher) wake() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timerAt = time.Time{}
	d.serve(d.now())
}

// Own returns this entry's load on each backend server that it uses.
func (d *Dispatcher) Own() []ServerLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Own()
}

// Demand returns this entry's demand for each class.
func (d *Dispatcher) Demand() []ClassDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Demand(d.now())
}

// Stats returns the counters since the start.
func (d *Dispatcher) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stats.clone()
}
