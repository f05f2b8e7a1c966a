// Package burn keeps what the report on service-level burn needs: for each
// class the whole answers within and after their deadline, refusals by kind,
// and histograms of where the time went, over several windows. It has no
// goroutine and no I/O; memory is bounded by the classes of the table.
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

// NoClass names the series of requests whose class is not in the table.
const NoClass = "(none)"

// maxSeries bounds the classes with a series of their own: those of a full
// table and some that left it lately. Further ones count under NoClass.
const maxSeries = 640

// Timing says where the time of one whole answer went. A zero is not measured.
type Timing struct {
	// Queue is the time from arrival to a place on a backend server.
	Queue time.Duration
	// FirstToken is the time from arrival to the first token.
	FirstToken time.Duration
	// Whole is the time from arrival to the whole answer.
	Whole time.Duration
}

// Options configure a Recorder.
type Options struct {
	VM string
	// Views holds the table with the deadlines.
	Views *view.Store
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Recorder counts the outcomes of one process. Its methods may be called from
// any goroutine; they hold a lock for a moment only.
type Recorder struct {
	vm      string
	views   *view.Store
	now     func() time.Time
	started time.Time

	mu     sync.Mutex
	series map[string]*series

	// seen is the last view that Observe counted.
	seen   atomic.Pointer[view.View]
	roleMu sync.Mutex
	roles  map[string]fleet.Role
	moves  windows
}

// New returns a Recorder without outcomes.
func New(o Options) *Recorder {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Recorder{
		vm:      o.VM,
		views:   o.Views,
		now:     o.Now,
		started: o.Now(),
		series:  map[string]*series{},
		moves:   newWindows(),
	}
}

// Answered records a whole answer.
func (r *Recorder) Answered(class string, t Timing) {
	now := r.now()
	c, known := r.class(class)
	s := r.seriesOf(c.Name, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roll(now)
	s.answered(t, !known || t.Whole <= c.Deadline)
}

// Refused records a refusal, or an answer that was cut.
func (r *Recorder) Refused(class string, kind fault.Kind) {
	now := r.now()
	c, _ := r.class(class)
	s := r.seriesOf(c.Name, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roll(now)
	s.refused(kind)
}

// Observe counts the role changes since the last observed view. Each outcome
// observes the current view, so a change and its reversal between two outcomes
// go unseen unless the publisher of views calls Observe too.
func (r *Recorder) Observe(v *view.View) {
	if v == nil || v == r.seen.Load() {
		return
	}
	r.roleMu.Lock()
	defer r.roleMu.Unlock()
	if last := r.seen.Load(); last != nil && !v.Newer(last) {
		return
	}
	next := make(map[string]fleet.Role, len(v.Servers))
	var moved Counts
	for _, s := range v.Servers {
		if old, ok := r.roles[s.ID]; ok && old != s.Role {
			moved.RoleChanges++
		}
		next[s.ID] = s.Role
	}
	r.roles = next
	r.seen.Store(v)
	if moved.RoleChanges > 0 {
		r.moves.add(&moved, r.now())
	}
}

// class observes the current view and returns the row of the table; the name is NoClass when there is none,
// so that callers can't make up series.
func (r *Recorder) class(name string) (row table.Class, known bool) {
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

// dropIdle forgets the classes without an outcome in any window.
func (r *Recorder) dropIdle(now time.Time) {
	for name, s := range r.series {
		if s.idle(now) {
			delete(r.series, name)
		}
	}
}
