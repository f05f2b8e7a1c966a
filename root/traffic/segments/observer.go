package segments

import (
	"context"
	"sync"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// minReportInterval is the least time between two reports.
const minReportInterval = 50 * time.Millisecond

// Control takes events for the control thread.
type Control interface {
	Post(ctx context.Context, ev machine.Event) error
}

// Observer collects the observations of requests and reports them to the control thread.
type Observer struct {
	control Control
	views   *view.Store
	now     func() time.Time

	mu    sync.Mutex
	state *State
	// pending has an element if there may be something to report.
	pending chan struct{}
}

// NewObserver returns an Observer. now is the clock of leases. The leader tells the probes of a process from those of
// its predecessor by their ids, which therefore begin with the time in nanoseconds.
func NewObserver(control Control, views *view.Store, now func() time.Time) *Observer {
	state := NewState(uint64(now().UnixNano()))
	return &Observer{control: control, views: views, now: now, state: state, pending: make(chan struct{}, 1)}
}

// Lost records that an engine ended under a request with these segments.
func (o *Observer) Lost(held []quarantine.Segment, s fleet.Server, at time.Time) {
	o.update(func() { o.state.Lost(held, s.ID, s.Incarnation, at) })
}

// Completed records that a response to a request with these segments has completed.
func (o *Observer) Completed(held []quarantine.Segment, at time.Time) {
	o.mu.Lock()
	o.state.Completed(held, at)
	o.mu.Unlock()
	if v := o.views.Load(); v != nil && v.Segments.HasSuspect(held) {
		o.wake()
	}
}

// Survives reports whether the suspect needs no probe at this entry; see State.Survives.
func (o *Observer) Survives(suspect quarantine.Suspect) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state.Survives(suspect)
}

// RequestProbe requests the permission to send one request with these suspects. EndProbe or
// FailProbe must be called for the result.
func (o *Observer) RequestProbe(suspects []quarantine.Segment) (p *Probe) {
	o.update(func() { p = o.state.RequestProbe(suspects) })
	return p
}

// GrantProbes implements loop.ProbeGrants.
func (o *Observer) GrantProbes(ids []uint64) {
	o.update(func() { o.state.GrantProbes(ids, o.now()) })
}

// EndProbe ends a probe, or the wait for its permission. Later calls do nothing.
func (o *Observer) EndProbe(p *Probe) { o.update(func() { o.state.EndProbe(p) }) }

// FailProbe ends a probe under which an engine ended. It does nothing after EndProbe.
func (o *Observer) FailProbe(p *Probe, s fleet.Server, at time.Time) {
	o.update(func() { o.state.FailProbe(p, s.ID, s.Incarnation, at) })
}

// update changes the state and has the change reported.
func (o *Observer) update(change func()) {
	o.mu.Lock()
	change()
	o.mu.Unlock()
	o.wake()
}

func (o *Observer) wake() {
	select {
	case o.pending <- struct{}{}:
	default:
	}
}

// Serve reports until ctx ends: when there are observations to report, and when the
// suspects may have changed.
func (o *Observer) Serve(ctx context.Context) error {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-pause.C:
		}
		changed := o.views.Changed()
		reportedAt := time.Now()
		if report, ok := o.report(); ok {
			if err := o.control.Post(ctx, report); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.pending:
		case <-changed:
		}
		pause.Reset(minReportInterval - time.Since(reportedAt))
	}
}

func (o *Observer) report() (machine.SegmentReport, bool) {
	var suspects []quarantine.Suspect
	if v := o.views.Load(); v != nil {
		suspects = v.Segments.Suspects
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state.Report(suspects)
}
