package placement

import (
	"context"
	"sync"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// Placer makes one State safe for concurrent use. No method holds the lock while
// it waits.
type Placer struct {
	mu    sync.Mutex
	state *State
}

// NewPlacer returns a Placer for a state.
func NewPlacer(s *State) *Placer { return &Placer{state: s} }

// SetView applies a newly published view.
func (p *Placer) SetView(v *view.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.SetView(v)
}

// Place chooses a server and, where necessary, waits in this entry's queue for it.
// An error is a *fault.Error that says that the request has not run.
func (p *Placer) Place(ctx context.Context, req Request) (*Lease, error) {
	arrived := time.Now()
	req.Arrived = arrived
	timeout := req.FirstOutputTimeout
	for {
		run, item, err := p.tryPlace(req)
		if err != nil {
			return nil, err
		}
		if item != nil {
			if run, err = p.await(ctx, item); err != nil {
				return nil, err
			}
		}
		if run != nil {
			return &Lease{placer: p, run: run, server: run.Server(), placed: time.Now()}, nil
		}
		if timeout > 0 {
			req.FirstOutputTimeout = max(1, timeout-time.Since(arrived))
		}
	}
}

func (p *Placer) tryPlace(req Request) (*Run, *QueuedRequest, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	run, item, err := p.state.Place(time.Now(), req)
	if err != nil {
		return nil, nil, err
	}
	return run, item, nil
}

// await waits until the request leaves the queue. It returns a nil run if the
// request must be placed again.
func (p *Placer) await(ctx context.Context, item *QueuedRequest) (*Run, error) {
	select {
	case res := <-item.result:
		if res.err != nil {
			return nil, res.err
		}
		return res.run, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.state.dequeue(item) {
		if res := <-item.result; res.run != nil {
			res.run.End(time.Now(), Result{Outcome: Abandoned})
		}
	}
	return nil, fault.From(ctx.Err()).WithRan(fault.RanNo)
}

// PlanPrefill decides where the request's prompt is prefilled.
func (p *Placer) PlanPrefill(req Request) PrefillPlan {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.PlanPrefill(time.Now(), req)
}

// HeldFor returns the time until a server of the request's service and stage wants
// requests; see State.HeldFor.
func (p *Placer) HeldFor(req Request) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.HeldFor(time.Now(), req)
}

// OwnLoads returns this entry's load on each server that it uses.
func (p *Placer) OwnLoads() []fleet.OwnLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.OwnLoads()
}

// SetServerShares applies this entry's shares of the servers' limits.
func (p *Placer) SetServerShares(shares []fleet.ServerShare) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.SetServerShares(time.Now(), shares)
}

// ServerDemands returns this entry's demand for each server that has named a limit.
func (p *Placer) ServerDemands() []fleet.ServerDemand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.ServerDemands(time.Now())
}

// Entries returns the number of VMs with an entry, at least 1.
func (p *Placer) Entries() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Entries()
}

// Lease holds capacity on a server for one request. Its holder releases it with
// End.
type Lease struct {
	placer            *Placer
	run               *Run
	server            fleet.Server
	placed            time.Time
	timeToFirstOutput time.Duration
}

// Server returns the server as it was when the request was placed.
func (l *Lease) Server() fleet.Server { return l.server }

// Decision returns what the placement was based on.
func (l *Lease) Decision() Decision { return l.run.Decision() }

// TimeToFirstOutput returns the time to the first output; 0 if there was none.
func (l *Lease) TimeToFirstOutput() time.Duration { return l.timeToFirstOutput }

// SinceFirstOutput returns the time since the first output; 0 if there was none.
func (l *Lease) SinceFirstOutput() time.Duration {
	if l.timeToFirstOutput == 0 {
		return 0
	}
	return time.Since(l.placed) - l.timeToFirstOutput
}

// MarkFirstOutput records the time of the first output: the first event, or the
// whole response if it has no events. The prompt is prefilled by then.
func (l *Lease) MarkFirstOutput() {
	if l.timeToFirstOutput > 0 {
		return
	}
	l.timeToFirstOutput = max(1, time.Since(l.placed))
	l.placer.mu.Lock()
	defer l.placer.mu.Unlock()
	l.run.MarkPrefilled()
}

// Observe applies a notice from the head of the response to the request. It reports
// whether the notice says more than earlier ones of the server.
func (l *Lease) Observe(n Notice) bool {
	l.placer.mu.Lock()
	defer l.placer.mu.Unlock()
	return l.run.Observe(time.Now(), n)
}

// End releases the lease. Later calls do nothing.
func (l *Lease) End(o Outcome) {
	l.placer.mu.Lock()
	defer l.placer.mu.Unlock()
	l.run.End(time.Now(), Result{Outcome: o, TimeToFirstOutput: l.timeToFirstOutput})
}
