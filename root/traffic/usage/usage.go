// Package usage reports the load and the demand of this process's traffic to its
// control thread.
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

// reportInterval is the time between two reports.
const reportInterval = 400 * time.Millisecond

// Source returns the current load and demand of this process's traffic.
type Source interface {
	// Loads returns this process's load on each backend server that it uses.
	Loads() []fleet.OwnLoad
	// Demands returns this process's demand for each class.
	Demands() []fleet.Demand
	// ServerDemands returns this process's demand for each server that has named a limit.
	ServerDemands() []fleet.ServerDemand
}

// DispatchSource is the Source of a process that queues requests by class.
type DispatchSource struct{ *dispatch.Dispatcher }

// Loads implements Source.
func (d DispatchSource) Loads() []fleet.OwnLoad {
	var out []fleet.OwnLoad
	for _, l := range d.OwnLoads() {
		if l.Running > 0 {
			out = append(out, fleet.OwnLoad{Server: l.Server, Running: l.Running, Tokens: l.Tokens})
		}
	}
	return out
}

// Demands implements Source.
func (d DispatchSource) Demands() []fleet.Demand {
	var out []fleet.Demand
	for _, c := range d.ClassDemands() {
		out = append(out, fleet.Demand{
			Class: c.Class, Running: c.Running, Waiting: c.Waiting, RatePerSecond: c.Rate,
		})
	}
	return out
}

// ServerDemands implements Source. The product's own API has no limits of servers.
func (d DispatchSource) ServerDemands() []fleet.ServerDemand { return nil }

// PlacementSource is the Source of a process without classes, whose requests are
// placed by routes.
type PlacementSource struct{ *placement.Placer }

// Loads implements Source.
func (p PlacementSource) Loads() []fleet.OwnLoad { return p.OwnLoads() }

// Demands implements Source. Without classes there is no demand to report.
func (p PlacementSource) Demands() []fleet.Demand { return nil }

// ServerDemands implements Source.
func (p PlacementSource) ServerDemands() []fleet.ServerDemand { return p.Placer.ServerDemands() }

// Reporter periodically reports this process's traffic to the control thread.
type Reporter struct {
	loop     *loop.Loop
	source   Source
	inFlight func() int
	applied  func() *view.View
}

// New returns a Reporter. inFlight returns the number of callers' requests being
// served. applied returns the newest view that the dispatcher or placer has applied.
func New(l *loop.Loop, s Source, inFlight func() int, applied func() *view.View) *Reporter {
	return &Reporter{loop: l, source: s, inFlight: inFlight, applied: applied}
}

// Serve reports every reportInterval until ctx ends.
func (r *Reporter) Serve(ctx context.Context) error {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			// If the loop's inbox is full, the report is dropped and the next tick sends a
			// newer one.
			_ = r.loop.Post(ctx, r.report())
		}
	}
}

// report reads the applied view before the loads and demands, so that these include
// every slot that was granted under an older view and is still in use.
func (r *Reporter) report() machine.TrafficReport {
	out := machine.TrafficReport{InFlight: r.inFlight()}
	if v := r.applied(); v != nil {
		out.ViewTerm, out.ViewSeq = v.Term, v.Seq
	}
	out.Loads = r.source.Loads()
	out.Demands = r.source.Demands()
	out.ServerDemands = r.source.ServerDemands()
	return out
}
