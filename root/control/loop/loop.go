// Package loop runs the control thread of a process. The thread blocks on an inbox
// of events, passes each event to a machine.Machine and dispatches the resulting
// effects to the components that perform I/O.
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
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

const part = "control/loop"

// Handlers execute the effects of the machine. They run on the control thread
// and must not block.
type Handlers struct {
	Send      func(to string, msg machine.Message)
	Persist   func(consensus.WriteBatch)
	Publish   func(*view.View)
	SetShares func([]fleet.Share)
	// SetServerShares passes traffic its shares of the limits of backend servers.
	SetServerShares func([]fleet.ServerShare)
	Issue           func(machine.IssueOrder)
	Encode          func(machine.EncodeSnapshot)
	// Halt stops the process after a fatal error in the control state.
	Halt func(*fault.Error)
}

// ProbeGrants receives the ids of the probes that may run. GrantProbes runs on the control
// thread and must not block. The ids are all that may run now, those of running probes
// included. A grant may be late: a request whose wait for it has ended must not use it.
type ProbeGrants interface{ GrantProbes(ids []uint64) }

// Loop is the service that runs the control thread.
type Loop struct {
	machine  *machine.Machine
	now      func() time.Time
	handlers Handlers
	log      logr.Logger
	inbox    *inbox
	nextID   atomic.Uint64
	steps    atomic.Uint64
	delay    *delayLog
	// probeGrants is nil until one is set.
	probeGrants atomic.Pointer[ProbeGrants]

	results   *waiters[replicated.Result]
	histories *waiters[machine.History]
}

// New returns a loop for machine m. The ids of commands and of reads of the history
// count up from idBase. The ids of two incarnations of the process must not overlap,
// because the leader identifies a proposal by the VM and the id. An incarnation, which
// is the start time of its process in nanoseconds, is a suitable idBase, because a
// process uses far fewer than one id per nanosecond. now is the clock of the machine, by
// which leases are measured.
func New(m *machine.Machine, handlers Handlers, idBase uint64, now func() time.Time, log logr.Logger) *Loop {
	l := &Loop{
		machine:   m,
		now:       now,
		handlers:  handlers,
		log:       log,
		inbox:     newInbox(),
		delay:     &delayLog{log: log},
		results:   newWaiters[replicated.Result](),
		histories: newWaiters[machine.History](),
	}
	l.nextID.Store(idBase)
	return l
}

// Serve runs the control thread until ctx ends. If a step panics, the control state may
// be half changed and effects may be lost. Serve then halts the process and discards all
// further events.
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
		now, began := l.now(), time.Now()
		l.delay.begin(now, began.Sub(ev.postedAt), ev.Event)
		if err := l.step(now, ev.Event); err != nil {
			l.halt(err)
			return l.discardEvents(ctx)
		}
		wake, took := l.machine.NextWake(), time.Since(began)
		l.delay.end(took, wake)
		timer.Reset(wake.Sub(now) - took)
	}
}

func (l *Loop) next(ctx context.Context, timer *time.Timer) (queuedEvent, bool) {
	select {
	case <-ctx.Done():
		return queuedEvent{}, false
	case ev := <-l.inbox.reliable:
		return ev, true
	case ev := <-l.inbox.droppable:
		return ev, true
	case <-timer.C:
		return queuedEvent{Event: machine.Wake{}, postedAt: time.Now()}, true
	}
}

// step passes an event to the machine and executes the effects. It returns an error if
// either panics.
func (l *Loop) step(now time.Time, ev machine.Event) (err *fault.Error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = supervise.PanicError(part, cause)
		}
	}()
	l.steps.Add(1)
	for _, e := range l.machine.Step(now, ev) {
		l.execute(e)
	}
	return nil
}

func (l *Loop) halt(err *fault.Error) {
	l.log.Error(err, "fatal error in the control state, stopping the process")
	l.handlers.Halt(err)
}

// discardEvents receives events until ctx ends, so that nobody blocks on the inbox of a
// process that is about to end.
func (l *Loop) discardEvents(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.inbox.reliable:
		case <-l.inbox.droppable:
		}
	}
}

func (l *Loop) execute(e machine.Effect) {
	switch e := e.(type) {
	case machine.Send:
		l.handlers.Send(e.To, e.Message)
	case machine.Persist:
		l.handlers.Persist(e.Batch)
	case machine.Publish:
		l.handlers.Publish(e.View)
	case machine.SetShares:
		l.handlers.SetShares(e.Shares)
	case machine.SetServerShares:
		l.handlers.SetServerShares(e.Shares)
	case machine.GrantProbes:
		if grants := l.probeGrants.Load(); grants != nil {
			(*grants).GrantProbes(e.IDs)
		}
	case machine.Answer:
		l.results.deliver(e.ID, e.Result)
	case machine.IssueOrder:
		l.handlers.Issue(e)
	case machine.EncodeSnapshot:
		l.handlers.Encode(e)
	case machine.History:
		l.histories.deliver(e.ID, e)
	case machine.LeadershipChanged:
		logLeadership(l.log, e.Change)
	case machine.MembersChanged:
		l.log.Info("members of the log changed", "voters", e.Members.Voters, "learners", e.Members.Learners, "index", e.Index)
	case machine.RoutesRead:
		l.log.Info("routes read", "for", e.Proposer, "version", e.Version, "index", e.Index, "term", e.Term,
			"waited_ms", e.Waited.Milliseconds())
	case machine.RoutesAcknowledged:
		l.log.Info("routes acknowledged", "for", e.Proposer, "version", e.Version, "term", e.Term,
			"entries", e.Entries, "lacking", e.Lacking, "waited_ms", e.Waited.Milliseconds())
	case machine.LeaderLost:
		l.log.Info("no leader renews the view", "term", e.Term, "seq", e.Seq, "routes", e.RoutesVersion,
			"silence_ms", e.Silence.Milliseconds(), "asking", e.Asking)
	case machine.LeaderFound:
		l.log.Info("a leader renews the view again", "leader", e.Leader, "term", e.Term, "seq", e.Seq, "routes", e.RoutesVersion,
			"silence_ms", e.Silence.Milliseconds(), "asked", e.Asked)
	case machine.Halt:
		l.halt(e.Err)
	}
}

// SetProbeGrants sets the receiver of the probes that may run. Without one, they are
// discarded.
func (l *Loop) SetProbeGrants(g ProbeGrants) { l.probeGrants.Store(&g) }

// Post passes an event to the control thread. When the queue of the event is full, a
// droppable event is dropped, and for a reliable one Post blocks until there is
// space or ctx ends.
func (l *Loop) Post(ctx context.Context, ev machine.Event) error {
	return l.inbox.post(ctx, ev)
}

// Submit proposes a command and waits for its result. If ctx ends while it waits for
// the result, the outcome is unknown. If ctx ends while the queue of reliable events is
// full, the command has not run.
func (l *Loop) Submit(ctx context.Context, cmd replicated.Command) (replicated.Result, error) {
	id := l.nextID.Add(1)
	ch := l.results.add(id)
	defer l.results.remove(id)
	if err := l.Post(ctx, machine.Submit{ID: id, Command: cmd}); err != nil {
		return replicated.Result{}, unresponsive(err)
	}
	select {
	case res := <-ch:
		return res, nil
	case <-ctx.Done():
		return replicated.Result{}, fault.Wrap(ctx.Err(), fault.NoQuorum, part, "command has no result yet, its outcome is unknown").WithRan(fault.RanUnknown)
	}
}

// History returns the history of the table as applied by this VM's replica.
func (l *Loop) History(ctx context.Context) ([]table.Record, error) {
	id := l.nextID.Add(1)
	ch := l.histories.add(id)
	defer l.histories.remove(id)
	if err := l.Post(ctx, machine.ReadHistory{ID: id}); err != nil {
		return nil, unresponsive(err)
	}
	select {
	case h := <-ch:
		if h.Err != nil {
			return nil, h.Err
		}
		return h.Records, nil
	case <-ctx.Done():
		return nil, unresponsive(ctx.Err())
	}
}

func unresponsive(err error) error {
	return fault.Wrap(err, fault.Unavailable, part, "control thread did not respond in time").WithRan(fault.RanNo)
}

// Stats counts events of the control thread.
type Stats struct {
	// Steps counts the processed events, timer wakeups included.
	Steps uint64 `json:"steps"`
	// Dropped counts the events dropped because their queue was full.
	Dropped uint64 `json:"dropped_events"`
}

// Stats returns the counters.
func (l *Loop) Stats() Stats {
	return Stats{Steps: l.steps.Load(), Dropped: l.inbox.dropped.Load()}
}
