package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/wagtaildyke/wagtaildyke/clock"
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// Options configure a Dispatcher.
type Options struct {
	// Views holds the current view of the control state.
	Views *view.Store
	// Seed seeds the random choices.
	Seed uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Suspended returns how long this VM was suspended, which Now does not count; nil
	// means clock.Suspended.
	Suspended func() time.Duration
	// Self is this VM's id, by which its entry finds its rank among the entries of a view.
	// The rank decides on which servers it gets a slot that is left over when the server's
	// slots don't divide evenly among the entries.
	Self string
	// Entries is the number of entries that share the fleet, at least 1. It applies until
	// a view contains Self as an entry that has an address and is not leaving; from then
	// on, the number of such entries in the newest such view applies.
	Entries int
}

// result is the grant or the error with which a request leaves the queue.
type result struct {
	grant Grant
	err   *fault.Error
}

// Dispatcher makes one State safe for concurrent use. No method holds the lock while
// it waits.
type Dispatcher struct {
	views *view.Store
	now   func() time.Time
	// suspended is Options.Suspended.
	suspended func() time.Duration

	mu    sync.Mutex
	state *State
	// waiters receive the results of queued requests, by request id.
	waiters map[uint64]chan result
	// timer runs serveQueue just after timerAt, the next expiry of a queued request;
	// timerAt is zero while the timer is not armed.
	timer   *time.Timer
	timerAt time.Time
	stats   Stats
}

// New returns a dispatcher without requests.
func New(o Options) *Dispatcher {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Suspended == nil {
		o.Suspended = clock.Suspended
	}
	return &Dispatcher{
		views:     o.Views,
		now:       o.Now,
		suspended: o.Suspended,
		state:     NewState(o.Self, o.Entries, o.Seed),
		waiters:   map[uint64]chan result{},
	}
}

// Acquire queues the request until it is granted a slot on a backend server. An
// error is a *fault.Error that says that the request has not run, of kind not_found,
// rate_limited, too_large, overloaded, deadline_exceeded, no_backend, not_ready,
// stopping or cancelled.
func (d *Dispatcher) Acquire(ctx context.Context, r Request) (*Lease, error) {
	id, wait, err := d.enqueue(ctx, r)
	if err != nil {
		return nil, err
	}
	select {
	case res := <-wait:
		return d.newLease(res)
	case <-ctx.Done():
		return d.leaveQueue(ctx, id, wait)
	}
}

// enqueue adds the request to the queue and serves the queue once.
func (d *Dispatcher) enqueue(ctx context.Context, r Request) (uint64, chan result, error) {
	if ctx.Err() != nil {
		return 0, nil, contextError(ctx)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyView()
	d.state.SetSuspended(d.suspended())
	now := d.now()
	id, refused := d.state.Enqueue(now, r)
	if refused != nil {
		d.stats.countRefusal(refused.Kind)
		return 0, nil, refused
	}
	wait := make(chan result, 1)
	d.waiters[id] = wait
	d.serveQueue(now)
	if refused, ok := d.state.ApplyQueueLimit(now, id); !ok {
		delete(d.waiters, id)
		d.stats.countRefusal(refused.Kind)
		return 0, nil, refused
	}
	return id, wait, nil
}

// leaveQueue removes the request from the queue. If it was granted meanwhile, its
// slot is released. It receives from wait only if Cancel finds the request no longer
// queued; the result is in the channel then, so that it doesn't block.
func (d *Dispatcher) leaveQueue(ctx context.Context, id uint64, wait chan result) (*Lease, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state.Cancel(id) {
		delete(d.waiters, id)
	} else if res := <-wait; res.err == nil {
		d.state.Done(d.now(), id, Cancelled)
	}
	err := contextError(ctx)
	d.stats.countRefusal(err.Kind)
	d.serveQueue(d.now())
	return nil, err
}

// contextError returns the error for a request that has not run when its context
// ends.
func contextError(ctx context.Context) *fault.Error {
	kind, msg := fault.Cancelled, "cancelled before the request ran"
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind, msg = fault.DeadlineExceeded, "the deadline passed before the request ran"
	}
	return fault.Wrap(ctx.Err(), kind, part, "%s", msg).WithRan(fault.RanNo)
}

func (d *Dispatcher) newLease(res result) (*Lease, error) {
	if res.err != nil {
		return nil, res.err
	}
	return &Lease{d: d, grant: res.grant}, nil
}

// Retry acquires a slot on another server for a request whose server failed or is
// slow. The caller still ends lease l. Only requests of idempotent classes are
// retried, within the retry budget. Errors say that the outcome is unknown, because
// the first attempt may have run.
func (d *Dispatcher) Retry(ctx context.Context, l *Lease, r Request) (*Lease, error) {
	if !l.grant.Class.Idempotent {
		return nil, fault.New(fault.OutcomeUnknown, part, "class %q is not idempotent", r.Class)
	}
	d.mu.Lock()
	allowed := d.state.TakeRetry()
	d.stats.countRetry(allowed)
	d.mu.Unlock()
	if !allowed {
		return nil, fault.New(fault.Overloaded, part, "the retry budget is exhausted").WithRan(fault.RanUnknown)
	}
	r.Exclude = append(slices.Clone(r.Exclude), l.grant.Server.ID)
	next, err := d.Acquire(ctx, r)
	if err != nil {
		return nil, fault.From(err).WithRan(fault.RanUnknown)
	}
	return next, nil
}

// ViewChanged applies a newly published view and serves the queue.
func (d *Dispatcher) ViewChanged() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyView()
	d.serveQueue(d.now())
}

// SetShares sets the shares, 0 to 1, of the classes' fleet-wide limits that the leader
// leased to this entry, by class. A class without a share gets an even one.
func (d *Dispatcher) SetShares(shares map[string]float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sendResults(nil, d.state.SetShares(shares))
	d.serveQueue(d.now())
}

// applyView applies the current view. The caller holds the lock.
func (d *Dispatcher) applyView() {
	d.sendResults(nil, d.state.SetView(d.views.Load()))
}

// serveQueue grants or refuses queued requests and arms the timer. The caller holds
// the lock.
func (d *Dispatcher) serveQueue(now time.Time) {
	d.state.SetSuspended(d.suspended())
	d.sendResults(d.state.Dispatch(now))
	d.armTimer(now)
}

func (d *Dispatcher) sendResults(grants []Grant, refused []Refused) {
	for _, g := range grants {
		d.stats.Granted++
		d.sendResult(g.ID, result{grant: g})
	}
	for _, r := range refused {
		d.stats.countRefusal(r.Err.Kind)
		d.sendResult(r.ID, result{err: r.Err})
	}
}

// sendResult sends the result of a queued request. It doesn't block, because the
// channel has a buffer for its only result.
func (d *Dispatcher) sendResult(id uint64, res result) {
	d.waiters[id] <- res
	delete(d.waiters, id)
}

// armTimer sets the timer to a millisecond after the next expiry of a queued request,
// because Dispatch refuses the request only after that time.
func (d *Dispatcher) armTimer(now time.Time) {
	at, ok := d.state.NextWake()
	if !ok || at.Equal(d.timerAt) {
		return
	}
	d.timerAt = at
	wait := max(0, at.Sub(now)) + time.Millisecond
	if d.timer == nil {
		d.timer = time.AfterFunc(wait, d.onTimer)
		return
	}
	d.timer.Reset(wait)
}

func (d *Dispatcher) onTimer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timerAt = time.Time{}
	d.serveQueue(d.now())
}

// OwnLoads returns this entry's load on each backend server that it uses.
func (d *Dispatcher) OwnLoads() []OwnLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.OwnLoads()
}

// ClassDemands returns this entry's demand for each class.
func (d *Dispatcher) ClassDemands() []ClassDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.ClassDemands(d.now())
}

// Stats returns the counters since the start.
func (d *Dispatcher) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stats.clone()
}
