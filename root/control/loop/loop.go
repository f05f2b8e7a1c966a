// Package loop runs the one control thread of a process. It blocks on a typed
// inbox, steps the machine, and hands the effects to the parts that do I/O.
package loop

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

const part = "control/loop"

// Outlets carry out effects. None of them may block.
type Outlets struct {
	Send      func(to string, msg machine.Message)
	Persist   func(consensus.Persist)
	Publish   func(*view.View)
	SetShares func([]fleet.Share)
	Issue     func(machine.IssueOrder)
	Encode    func(machine.EncodeSnapshot)
	// Halt stops the process: a durable invariant is broken.
	Halt func(*fault.Error)
}

// Loop owns the control thread.
type Loop struct {
	machine *machine.Machine
	out     Outlets
	log     logr.Logger
	inbox   *inbox
	nextID  atomic.Uint64
	steps   atomic.Uint64

	results   *waiters[replicated.Result]
	histories *waiters[machine.History]
}

// New returns a loop around a machine. idBase makes proposal ids unique to
// this incarnation of the process.
func New(m *machine.Machine, out Outlets, idBase uint64, log logr.Logger) *Loop {
	l := &Loop{
		machine:   m,
		out:       out,
		log:       log,
		inbox:     newInbox(),
		results:   newWaiters[replicated.Result](),
		histories: newWaiters[machine.History](),
	}
	l.nextID.Store(idBase)
	return l
}

// Serve runs the control thread until ctx ends.
func (l *Loop) Serve(ctx context.Context) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		ev, ok := l.next(ctx, timer)
		if !ok {
			return ctx.Err()
		}
		l.step(ev)
		timer.Reset(time.Until(l.machine.NextWake()))
	}
}

func (l *Loop) next(ctx context.Context, timer *time.Timer) (machine.Event, bool) {
	select {
	case <-ctx.Done():
		return nil, false
	case ev := <-l.inbox.kept:
		return ev, true
	case ev := <-l.inbox.soft:
		return ev, true
	case <-timer.C:
		return machine.Wake{}, true
	}
}

func (l *Loop) step(ev machine.Event) {
	l.steps.Add(1)
	for _, e := range l.machine.Step(time.Now(), ev) {
		l.carryOut(e)
	}
}

func (l *Loop) carryOut(e machine.Effect) {
	switch e := e.(type) {
	case machine.Send:
		l.out.Send(e.To, e.Message)
	case machine.Persist:
		l.out.Persist(e.Batch)
	case machine.Publish:
		l.out.Publish(e.View)
	case machine.SetShares:
		l.out.SetShares(e.Shares)
	case machine.Answer:
		l.results.answer(e.ID, e.Result)
	case machine.IssueOrder:
		l.out.Issue(e)
	case machine.EncodeSnapshot:
		l.out.Encode(e)
	case machine.History:
		l.histories.answer(e.ID, e)
	case machine.Halt:
		l.log.Error(e.Err, "stopping the process: control state is broken")
		l.out.Halt(e.Err)
	}
}

// Post hands an event to the control thread. Events that are said again soon
// are dropped when the inbox is full; others wait for room or for ctx.
func (l *Loop) Post(ctx context.Context, ev machine.Event) error {
	return l.inbox.post(ctx, ev)
}

// Submit asks for a command to be committed and waits for its result. When ctx
// ends first the outcome is unknown.
func (l *Loop) Submit(ctx context.Context, cmd replicated.Command) (replicated.Result, error) {
	id := l.nextID.Add(1)
	ch := l.results.add(id)
	defer l.results.remove(id)
	if err := l.Post(ctx, machine.Submit{ID: id, Command: cmd}); err != nil {
		return replicated.Result{}, busy(err)
	}
	select {
	case res := <-ch:
		return res, nil
	case <-ctx.Done():
		return replicated.Result{}, fault.Wrap(ctx.Err(), fault.NoQuorum, part, "no answer in time").WithRan(fault.RanUnknown)
	}
}

// History returns the table's history as this VM's replica has applied it.
func (l *Loop) History(ctx context.Context) ([]table.Record, error) {
	id := l.nextID.Add(1)
	ch := l.histories.add(id)
	defer l.histories.remove(id)
	if err := l.Post(ctx, machine.ReadHistory{ID: id}); err != nil {
		return nil, busy(err)
	}
	select {
	case h := <-ch:
		if h.Err != nil {
			return nil, h.Err
		}
		return h.Records, nil
	case <-ctx.Done():
		return nil, busy(ctx.Err())
	}
}

func busy(err error) error {
	return fault.Wrap(err, fault.Unavailable, part, "the control thread is busy").WithRan(fault.RanNo)
}

// Stats counts what the control thread has done.
type Stats struct {
	Steps   uint64 `json:"steps"`
	Dropped uint64 `json:"dropped_events"`
}

// Stats returns the counters.
func (l *Loop) Stats() Stats {
	return Stats{Steps: l.steps.Load(), Dropped: l.inbox.dropped.Load()}
}
