package forward

import (
	"context"
	"errors"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// serveIdempotent sends work that may run again, and mends what breaks.
func (f *Forwarder) serveIdempotent(ctx context.Context, r Request, sink Sink) error {
	ctx, cancel := withDeadline(ctx, r.Work.Deadline)
	defer cancel()
	lease, err := f.Dispatcher.Acquire(ctx, r.Work)
	if err != nil {
		return err
	}
	run := &idempotentRun{f: f, r: r, sink: sink}
	for attempt := 1; ; attempt++ {
		failed := run.once(ctx, lease)
		if next := run.movedTo(failed); next != nil {
			lease.Done(dispatch.Cancelled)
			lease = next
			attempt--
			continue
		}
		lease.Done(run.outcome(ctx, failed))
		if failed == nil {
			return nil
		}
		run.claim(failed)
		if attempt == maxAttempts || !run.mayRetry(ctx, failed) {
			return run.refusal(ctx, failed)
		}
		next, err := run.retry(ctx, lease)
		if err != nil {
			return run.notRetried(failed, err)
		}
		lease = next
	}
}

// idempotentRun is the progress of one request over its attempts.
type idempotentRun struct {
	f        *Forwarder
	r        Request
	sink     Sink
	headSent bool
	// received counts events that the sink has; the next attempt starts after them.
	received int
	// progressed is set when the last attempt moved an event.
	progressed bool
	// broken is set when the answer can't go on at another server.
	broken bool
	// moves counts the times that the answer left a slow server; moved is the
	// place that the last attempt moves to.
	moves int
	moved *dispatch.Lease
	// ran is the strongest claim of the attempts that failed.
	ran fault.Ran
}

// movedTo returns the place where the answer goes on after it left a slow
// server. A place that came too late is given back.
func (run *idempotentRun) movedTo(failed error) *dispatch.Lease {
	next := run.moved
	run.moved = nil
	if next == nil {
		return nil
	}
	if failed == nil || run.broken || fault.Is(failed, fault.Cancelled) {
		next.Done(dispatch.Cancelled)
		return nil
	}
	run.claim(failed)
	run.moves++
	run.r.Work.Exclude = nil
	return next
}

func (run *idempotentRun) once(ctx context.Context, lease *dispatch.Lease) error {
	attempt, cancel := context.WithCancel(ctx)
	defer cancel()
	move := run.newMover(attempt, lease, cancel)
	err := run.attempt(attempt, lease, move)
	run.moved = move.end()
	return err
}

func (run *idempotentRun) attempt(ctx context.Context, lease *dispatch.Lease, move *mover) error {
	call := run.r.Call
	call.ResumeAfter = run.received
	run.progressed = false
	answer, err := run.f.Client.Do(ctx, lease.Server(), call)
	if err != nil {
		return run.sendFailed(lease, err)
	}
	defer answer.Close()
	if head := answer.Head(); isWorthRetry(head.Status) {
		return refused(lease, head)
	}
	if run.headSent && !answer.Head().Stream {
		run.broken = true
		return fault.New(fault.StreamCut, part, "%s did not resume the stream", lease.Server().ID)
	}
	moved, err := transfer(answer, run.sink, lease, &run.headSent, func() bool {
		return move.pass(ctx, answer.Resumable())
	})
	run.received += moved
	run.progressed = moved > 0
	if err != nil && run.headSent && !answer.Resumable() {
		run.broken = true
	}
	return err
}

func (run *idempotentRun) sendFailed(lease *dispatch.Lease, err error) error {
	out := fault.Wrap(err, fault.BackendFailed, part, "%s failed", lease.Server().ID)
	var send *engine.SendError
	if errors.As(err, &send) && send.NotSent {
		return out.WithRan(fault.RanNo)
	}
	return out
}

// refused is the failure for a server that answered but did not do the work.
func refused(lease *dispatch.Lease, head engine.Head) error {
	out := fault.New(fault.BackendFailed, part, "%s answered status %d", lease.Server().ID, head.Status)
	if head.NotRun {
		return out.WithRan(fault.RanNo)
	}
	return out
}

// claim keeps the strongest claim: work that one attempt may have run has not
// "not run" because a later attempt failed before it was sent.
func (run *idempotentRun) claim(failed error) {
	switch ran := fault.From(failed).Ran; {
	case run.received > 0 || ran == fault.RanYes:
		run.ran = fault.RanYes
	case ran == fault.RanUnknown && run.ran == fault.RanNo:
		run.ran = fault.RanUnknown
	}
}

// refusal is what the caller is told after the last attempt.
func (run *idempotentRun) refusal(ctx context.Context, failed error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		failed = fault.Wrap(failed, fault.DeadlineExceeded, part, "the deadline passed")
	}
	return fault.From(failed).WithRan(run.ran)
}

// notRetried adds to a failure why there was no other attempt.
func (run *idempotentRun) notRetried(failed, reason error) error {
	kind := fault.KindOf(failed)
	return fault.Wrap(failed, kind, part, "no retry (%v)", reason).WithRan(run.ran)
}

// retryPause is the wait after every server has failed.
const retryPause = 500 * time.Millisecond

// retry gets a place on another server. When all have failed it waits, and then
// lets the earlier ones try again.
func (run *idempotentRun) retry(ctx context.Context, failed *dispatch.Lease) (*dispatch.Lease, error) {
	d := run.f.Dispatcher
	lease, err := d.Retry(ctx, failed, run.next(failed))
	if err == nil || !fault.Is(err, fault.NoBackend) || len(run.r.Work.Exclude) < 2 {
		return lease, err
	}
	if !pause(ctx, retryPause) {
		return nil, err
	}
	run.r.Work.Exclude = nil
	return d.Retry(ctx, failed, run.next(failed))
}

// pause waits and reports whether ctx lasted.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// next is the work that is left for another server. Servers that failed before
// an attempt that made progress have had time to come back.
func (run *idempotentRun) next(failed *dispatch.Lease) dispatch.Request {
	if run.progressed {
		run.r.Work.Exclude = nil
	}
	run.r.Work.Exclude = append(run.r.Work.Exclude, failed.Server().ID)
	left := run.r.Work
	if left.MaxOutputTokens > 0 {
		left.MaxOutputTokens = max(1, left.MaxOutputTokens-run.received)
	}
	return left
}

// mayRetry reports whether another attempt can give the whole answer.
func (run *idempotentRun) mayRetry(ctx context.Context, failed error) bool {
	if ctx.Err() != nil || run.broken {
		return false
	}
	kind := fault.KindOf(failed)
	return kind == fault.BackendFailed || kind == fault.StreamCut || kind == fault.OutcomeUnknown
}

func (run *idempotentRun) outcome(ctx context.Context, failed error) dispatch.Outcome {
	switch {
	case failed == nil:
		return dispatch.Succeeded
	case fault.Is(failed, fault.Cancelled) || errors.Is(ctx.Err(), context.Canceled):
		return dispatch.Cancelled
	default:
		return dispatch.Failed
	}
}
