package root

import (
	"context"
	"errors"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// callerSlack is the time between an address answer and its receipt, and
// between a caller's look at its age and the connection.
const callerSlack = 500 * time.Millisecond

// handOverTime is how long the process stays up after it gave up its leases
// and leadership, so that the word gets out.
const handOverTime = 300 * time.Millisecond

// Serve runs the process until ctx ends, then stops it gracefully. It returns
// nil after a graceful stop that cut nothing.
func (p *Process) Serve(ctx context.Context) error {
	treeCtx, endTree := context.WithCancel(context.Background())
	defer endTree()
	ended := make(chan struct{})
	var treeErr error
	go func() {
		defer close(ended)
		treeErr = p.tree.Serve(treeCtx)
	}()
	defer p.closeStore()
	p.log.Info("serving", "vm", p.settings.VM, "entry", p.EntryURL(), "operator", p.OperatorURL())
	select {
	case err := <-p.halted:
		endTree()
		<-ended
		return err
	case <-ended:
		return p.fatal(treeErr)
	case <-ctx.Done():
	}
	err := p.drain(ended)
	p.tree.StopChildren()
	endTree()
	<-ended
	p.log.Info("stopped", "vm", p.settings.VM)
	return err
}

// fatal is the error of a tree that ended by itself.
func (p *Process) fatal(err error) error {
	select {
	case halt := <-p.halted:
		return halt
	default:
	}
	var typed *fault.Error
	if errors.As(err, &typed) {
		return typed
	}
	return fault.Wrap(err, fault.Internal, part, "the supervisor tree ended")
}

// drain takes the process out of service without cutting a request: first out
// of the address answer for as long as callers may keep one, then out of new
// work, then its streams run out, then leases and leadership are handed over.
func (p *Process) drain(ended <-chan struct{}) error {
	if p.settings.Platform != nil {
		return p.drainPlatform(ended)
	}
	p.log.Info("stopping: leaving the address answer")
	p.post(machine.Stop{Phase: machine.StopLeaving})
	var err error
	if p.traffic != nil {
		// Without word from the leader, entries that still give the address out
		// have lost their lease after that long.
		wait(machine.DefaultTiming().ViewLease, ended, p.left)
		wait(p.settings.Entry.AddressLifetime()+callerSlack, ended, nil)
		p.log.Info("stopping: refusing new work, draining", "in_flight", p.traffic.Handler.InFlight())
		p.post(machine.Stop{Phase: machine.StopRefusing})
		err = p.drainTraffic()
	}
	p.post(machine.Stop{Phase: machine.StopDone})
	wait(handOverTime, ended, nil)
	return err
}

func (p *Process) drainTraffic() error {
	limit := p.settings.Stop.DrainLimit()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := p.traffic.Server.Drain(ctx); err != nil {
		left := p.traffic.Handler.InFlight()
		p.log.Info("stopping: the drain limit passed, cutting requests", "limit", limit.String(), "in_flight", left)
		return fault.New(fault.StreamCut, part, "%d requests were cut at the drain limit of %s", left, limit)
	}
	return nil
}

func (p *Process) post(ev machine.Event) {
	// The loop serves until the tree ends, so the event is taken.
	_ = p.loop.Post(context.Background(), ev)
}

// wait ends after d, or earlier when either channel is closed.
func wait(d time.Duration, ended, early <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ended:
	case <-early:
	}
}
