package root

import (
	"context"
	"errors"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// addressAgeMargin is how much longer than its lifetime an address may be in use: the
// time until the caller receives the address list, and the time between its check of
// the list's age and the connection.
const addressAgeMargin = 500 * time.Millisecond

// handoverDelay is how long the process keeps running after it has released its
// leases and leadership, so that the messages about it are sent.
const handoverDelay = 300 * time.Millisecond

// Serve runs the process until ctx ends and then shuts it down gracefully. It
// returns nil if the shutdown aborted no request. It does not return a write failure
// or an error of the supervisor tree that occurs during the shutdown.
func (p *Process) Serve(ctx context.Context) error {
	treeCtx, cancelTree := context.WithCancel(context.Background())
	defer cancelTree()
	ended := make(chan struct{})
	var treeErr error
	go func() {
		defer close(ended)
		treeErr = p.tree.Serve(treeCtx)
	}()
	defer p.closeStore()
	p.log.Info("serving", "vm", p.settings.VM, "replica", string(p.replicaID), "entry", p.EntryURL(), "operator", p.OperatorURL())
	select {
	case err := <-p.halted:
		cancelTree()
		<-ended
		return err
	case <-ended:
		return p.exitError(treeErr)
	case <-ctx.Done():
	}
	err := p.drain(ended)
	p.tree.StopChildren()
	cancelTree()
	<-ended
	p.log.Info("stopped", "vm", p.settings.VM)
	return err
}

// exitError returns the error to report after the supervisor tree has ended by
// itself. A pending halt takes precedence over the tree's own error.
func (p *Process) exitError(err error) error {
	select {
	case halt := <-p.halted:
		return halt
	default:
	}
	var typed *fault.Error
	if errors.As(err, &typed) {
		return typed
	}
	return fault.Wrap(err, fault.Internal, part, "the supervisor tree ended unexpectedly")
}

// drain takes the process out of service. It withdraws the process from the address
// list, waits until callers' cached addresses have expired, refuses new work, waits
// until the requests in flight end or the drain limit is reached, and finally releases
// leases and leadership. In a platform deployment drainPlatform does this instead.
func (p *Process) drain(ended <-chan struct{}) error {
	if p.settings.Platform != nil {
		return p.drainPlatform(ended)
	}
	p.log.Info("stopping: withdrawing from the address list")
	p.post(machine.Stop{Phase: machine.StopLeaving})
	var err error
	if p.traffic != nil {
		// If no confirmation arrives from the leader, entries that still advertise the
		// address have lost their view lease after this time.
		wait(machine.DefaultTiming().ViewLease, ended, p.left)
		wait(p.settings.Entry.AddressLifetime()+addressAgeMargin, ended, nil)
		p.log.Info("stopping: refusing new work, draining requests", "in_flight", p.traffic.Handler.InFlight())
		p.post(machine.Stop{Phase: machine.StopRefusing})
		err = p.drainTraffic()
	}
	p.post(machine.Stop{Phase: machine.StopDone})
	wait(handoverDelay, ended, nil)
	return err
}

// drainTraffic waits for the requests in flight to end. The error gives the
// number of those that remain at the drain limit. They are aborted when the tree stops.
func (p *Process) drainTraffic() error {
	limit := p.settings.Stop.DrainLimit()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := p.traffic.Server.Drain(ctx); err != nil {
		left := p.traffic.Handler.InFlight()
		p.log.Info("stopping: drain limit reached, aborting requests", "limit", limit.String(), "in_flight", left)
		return fault.New(fault.StreamCut, part, "%d requests were aborted at the drain limit of %s", left, limit)
	}
	return nil
}

func (p *Process) post(ev machine.Event) {
	// The loop runs until the tree ends, so it receives the event.
	_ = p.loop.Post(context.Background(), ev)
}

// wait returns after d, or as soon as either channel is closed. A nil channel is
// ignored.
func wait(d time.Duration, ended, done <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ended:
	case <-done:
	}
}
