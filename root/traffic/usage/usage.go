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
	"github.com/wagtaildyke/wagtaildyke/root/traffic/placement"
)

// interval is the time between two reports.
const interval = 400 * time.Millisecond

// Source tells what traffic of this process is under way.
type Source interface {
	// Loads returns the own requests on each backend server in use.
	Loads() []fleet.OwnLoad
	// Demands returns the demand for each class.
	Demands() []fleet.Demand
}

// Dispatched is the source of a process whose requests wait in line for a place.
type Dispatched struct{ *dispatch.Dispatcher }

// Loads implements Source.
func (d Dispatched) Loads() []fleet.OwnLoad {
	var out []fleet.OwnLoad
	for _, l := range d.OwnLoads() {
		if l.Running > 0 {
			out = append(out, fleet.OwnLoad{Server: l.ID, Running: l.Running, Tokens: l.Tokens})
		}
	}
	return out
}

// Demands implements Source.
func (d Dispatched) Demands() []fleet.Demand {
	var out []fleet.Demand
	for _, c := range d.ClassDemands() {
		out = append(out, fleet.Demand{
			Class: c.Class, Running: c.Running, Waiting: c.Waiting, RatePerSecond: c.Rate,
		})
	}
	return out
}

// Placed is the source of a process whose requests are placed at once.
type Placed struct{ *placement.Placer }

// Loads implements Source.
func (p Placed) Loads() []fleet.OwnLoad { return p.OwnLoads() }

// Demands implements Source: without lines and classes there is none to divide.
func (p Placed) Demands() []fleet.Demand { return nil }

// Reporter tells the control thread about this process's own traffic.
type Reporter struct {
	loop     *loop.Loop
	source   Source
	inFlight func() int
	applied  func() *view.View
}

// New returns a Reporter. inFlight counts callers' requests being served;
// applied returns the newest view that the dispatcher goes by.
func New(l *loop.Loop, s Source, inFlight func() int, applied func() *view.View) *Reporter {
	return &Reporter{loop: l, source: s, inFlight: inFlight, applied: applied}
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
	out.Loads = r.source.Loads()
	out.Demands = r.source.Demands()
	return out
}
