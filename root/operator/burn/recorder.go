// Package burn records request outcomes and computes the error budget burn rate
// of each class over several time windows. For each class it counts the complete
// responses within and after the deadline and the errors by kind, and it keeps
// histograms of the durations. It starts no goroutine and does no I/O; its memory
// is bounded by the number of classes.
package burn

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// NoClass is the name under which requests are counted whose class is not in the
// table, or has no series because of maxSeries.
const NoClass = "(none)"

// maxSeries bounds the number of series. It allows for a full table and some
// classes that were removed from it recently. The requests of further classes are
// counted under NoClass.
const maxSeries = 640

// Timing holds the durations of one request with a complete response. A duration
// that was not measured is zero.
type Timing struct {
	// Queue is the time from arrival to the assignment to a backend server.
	Queue time.Duration
	// FirstToken is the time from arrival to the first token.
	FirstToken time.Duration
	// Total is the time from arrival to the complete response.
	Total time.Duration
}

// Options configure a Recorder.
type Options struct {
	// VM is the ID of this VM.
	VM string
	// Views holds the current view, which has the class table with the deadlines.
	Views *view.Store
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Recorder counts the request outcomes of one process. Its methods are safe for
// concurrent use and never block on I/O.
type Recorder struct {
	vm      string
	views   *view.Store
	now     func() time.Time
	started time.Time

	mu     sync.Mutex
	series map[string]*series

	// lastView is the newest view passed to Observe.
	lastView    atomic.Pointer[view.View]
	roleMu      sync.Mutex
	roles       map[string]fleet.Role
	roleChanges windows
}

// New returns an empty Recorder.
func New(o Options) *Recorder {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Recorder{
		vm:          o.VM,
		views:       o.Views,
		now:         o.Now,
		started:     o.Now(),
		series:      map[string]*series{},
		roleChanges: newWindows(),
	}
}

// RecordResponse records a complete response. A class that is not in the table
// has no deadline, so its responses count as within the deadline.
func (r *Recorder) RecordResponse(class string, t Timing) {
	now := r.now()
	c, known := r.lookupClass(class)
	s := r.seriesOf(c.Name, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	s.recordResponse(t, !known || t.Total <= c.Deadline)
}

// RecordError records a request that was rejected or whose response was aborted.
func (r *Recorder) RecordError(class string, kind fault.Kind) {
	now := r.now()
	c, _ := r.lookupClass(class)
	s := r.seriesOf(c.Name, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	s.recordError(kind)
}

// Observe counts the role changes between the last observed view and v. It ignores
// views that are not newer. Recording an outcome observes the current view, so a
// role change that is reversed between two outcomes is missed unless the publisher
// of views calls Observe for each of them.
func (r *Recorder) Observe(v *view.View) {
	if v == nil || v == r.lastView.Load() {
		return
	}
	r.roleMu.Lock()
	defer r.roleMu.Unlock()
	if last := r.lastView.Load(); last != nil && !v.Newer(last) {
		return
	}
	next := make(map[string]fleet.Role, len(v.Servers))
	var changes Counts
	for _, s := range v.Servers {
		if old, ok := r.roles[s.ID]; ok && old != s.Role {
			changes.RoleChanges++
		}
		next[s.ID] = s.Role
	}
	r.roles = next
	r.lastView.Store(v)
	if changes.RoleChanges > 0 {
		r.roleChanges.add(&changes, r.now())
	}
}

// lookupClass observes the current view and returns the class with the given name.
// For a name that is not in the table it returns a class named NoClass, so that
// callers can't create series by sending arbitrary class names.
func (r *Recorder) lookupClass(name string) (row table.Class, known bool) {
	v := r.views.Load()
	r.Observe(v)
	if v != nil {
		if c, ok := v.Table.Class(name); ok {
			return c, true
		}
	}
	return table.Class{Name: NoClass}, false
}

func (r *Recorder) seriesOf(class string, now time.Time) *series {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.series[class]; ok {
		return s
	}
	if len(r.series) >= maxSeries {
		r.dropIdle(now)
	}
	if len(r.series) >= maxSeries {
		class = NoClass
	}
	s, ok := r.series[class]
	if !ok {
		s = newSeries(now)
		r.series[class] = s
	}
	return s
}

// dropIdle removes the series without an outcome in any window. r.mu is held.
func (r *Recorder) dropIdle(now time.Time) {
	for name, s := range r.series {
		if s.isIdle(now) {
			delete(r.series, name)
		}
	}
}
