package placement

import (
	"context"
	"sync"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// Placer shares one State. Its methods may be called from any goroutine and
// hold the lock for a moment only.
type Placer struct {
	mu    sync.Mutex
	state *State
}

// NewPlacer returns a placer over a state.
func NewPlacer(s *State) *Placer { return &Placer{state: s} }

// SetView takes over a newly published view.
func (p *Placer) SetView(v *view.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.SetView(v)
}

// Place chooses a server and waits in line for it where it must. An error is a
// *fault.Error that says that the work has not run.
func (p *Placer) Place(ctx context.Context, w Work) (*Lease, error) {
	arrived := time.Now()
	w.Arrived = arrived
	patience := w.Patience
	for {
		run, item, err := p.try(w)
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
		if patience > 0 {
			w.Patience = max(1, patience-time.Since(arrived))
		}
	}
}

func (p *Placer) try(w Work) (*Run, *Waiting, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	run, item, err := p.state.Place(time.Now(), w)
	if err != nil {
		return nil, nil, err
	}
	return run, item, nil
}

// await waits in line. It returns nil when the work is to be placed anew.
func (p *Placer) await(ctx context.Context, item *Waiting) (*Run, error) {
	select {
	case g := <-item.granted:
		if g.err != nil {
			return nil, g.err
		}
		return g.run, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.state.leave(item) {
		if g := <-item.granted; g.run != nil {
			g.run.End(time.Now(), Result{Outcome: Abandoned})
		}
	}
	return nil, fault.From(ctx.Err()).WithRan(fault.RanNo)
}

// Way chooses how the prompt of the work is read.
func (p *Placer) Way(w Work) Way {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Way(time.Now(), w)
}

// Own returns this entry's load on each server that it uses.
func (p *Placer) Own() []fleet.OwnLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Own()
}

// Entries returns the number of VMs that take callers.
func (p *Placer) Entries() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Entries()
}

// Lease is a place on a server. Its holder ends it with End.
type Lease struct {
	placer *Placer
	run    *Run
	server fleet.Server
	placed time.Time
	took   time.Duration
}

// Server returns the server as it was when the place was given.
func (l *Lease) Server() fleet.Server { return l.server }

// Choice returns what the place was chosen by.
func (l *Lease) Choice() Choice { return l.run.Choice() }

// Took returns the time to the first sign of the answer; 0 without any.
func (l *Lease) Took() time.Duration { return l.took }

// First notes the first sign of the answer: the prompt has been read.
func (l *Lease) First() {
	if l.took > 0 {
		return
	}
	l.took = max(1, time.Since(l.placed))
	l.placer.mu.Lock()
	defer l.placer.mu.Unlock()
	l.run.Read()
}

// End gives the place back. Later calls do nothing.
func (l *Lease) End(o Outcome) {
	l.placer.mu.Lock()
	defer l.placer.mu.Unlock()
	l.run.End(time.Now(), Result{Outcome: o, Took: l.took})
}
