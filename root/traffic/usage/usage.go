// Package usage reports a process's own traffic to its control thread.
package usage

import (
	"context"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/loop"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
)

// interval is the time between two reports.
const interval = 400 * time.Millisecond

// Reporter tells the control thread about this process's own traffic.
type Reporter struct {
	loop       *loop.Loop
	dispatcher *dispatch.Dispatcher
	inFlight   func() int
	applied    func() *view.View
}

// New returns a Reporter. inFlight counts callers' requests being served;
// applied returns the newest view that the dispatcher goes by.
func New(l *loop.Loop, d *dispatch.Dispatcher, inFlight func() int, applied func() *view.View) *Reporter {
	return &Reporter{loop: l, dispatcher: d, inFlight: inFlight, applied: applied}
}

// Serve runs until ctx ends.
func (r *Reporter) Serve(ctx context.Context) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			// A report that finds no room is repeated at the next tick.
			_ = r.loop.Post(ctx, r.report())
		}
	}
}

// report notes the view before it counts, so that every place given out under
// an older view is in the count.
func (r *Reporter) report() machine.Traffic {
	out := machine.Traffic{InFlight: r.inFlight()}
	if v := r.applied(); v != nil {
		out.ViewTerm, out.ViewSeq = v.Term, v.Seq
	}
	for _, l := range r.dispatcher.Own() {
		if l.Running > 0 {
			out.Loads = append(out.Loads, fleet.OwnLoad{Server: l.ID, Running: l.Running, Tokens: l.Tokens})
		}
	}
	for _, d := range r.dispatcher.Demand() {
		out.Demands = append(out.Demands, fleet.Demand{
			Class: d.Class, Running: d.Running, Waiting: d.Waiting, RatePerSecond: d.Rate,
		})
	}
	return out
}
