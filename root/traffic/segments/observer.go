package segments

import (
	"context"
	"sync"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/loop"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// minReportInterval is the least time between two reports.
const minReportInterval = 50 * time.Millisecond

// Observer collects the observations of requests and reports them to the control thread.
type Observer struct {
	loop  *loop.Loop
	views *view.Store

	mu    sync.Mutex
	state *State
	// pending has an element if there may be something to report.
	pending chan struct{}
}

// NewObserver returns an Observer.
func NewObserver(l *loop.Loop, views *view.Store) *Observer {
	return &Observer{loop: l, views: views, state: NewState(), pending: make(chan struct{}, 1)}
}

// Lost records that an engine ended under a request with these segments.
func (o *Observer) Lost(held []quarantine.Segment, s fleet.Server, at time.Time) {
	o.mu.Lock()
	o.state.Lost(held, s.ID, s.Incarnation, at)
	o.mu.Unlock()
	o.wake()
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
		if report, ok := o.report(); ok {
			if err := o.loop.Post(ctx, report); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.pending:
		case <-changed:
		}
		pause.Reset(minReportInterval)
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
