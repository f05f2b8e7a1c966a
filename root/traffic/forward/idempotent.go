package forward

import (
	"context"
	"errors"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// serveIdempotent sends work that may run again, and mends what breaks.
func (f *Forwarder) serveIdempotent(ctx context.Context, r Request, sink Sink) error {
	lease, err := f.Dispatcher.Acquire(ctx, r.Work)
	if err != nil {
		return err
	}
	run := &idempotentRun{f: f, r: r, sink: sink}
	for attempt := 1; ; attempt++ {
		failed := run.once(ctx, lease)
		lease.Done(run.outcome(failed))
		if failed == nil || attempt == maxAttempts || !run.mayRetry(ctx, failed) {
			return failed
		}
		r.Work.Exclude = append(r.Work.Exclude, lease.Server().ID)
		next, err := f.Dispatcher.Retry(ctx, lease, r.Work)
		if err != nil {
			return failed
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
	// broken is set when the answer can't go on at another server.
	broken bool
}

func (run *idempotentRun) once(ctx context.Context, lease *dispatch.Lease) error {
	call := run.r.Call
	call.ResumeAfter = run.received
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
	moved, err := transfer(answer, run.sink, lease, &run.headSent)
	run.received += moved
	if err != nil && run.headSent && !answer.Resumable() {
		run.broken = true
	}
	return err
}

func (run *idempotentRun) sendFailed(lease *dispatch.Lease, err error) error {
	out := fault.Wrap(err, fault.BackendFailed, part, "%s failed", lease.Server().ID)
	var send *engine.SendError
	if run.received == 0 && errors.As(err, &send) && send.NotSent {
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

// mayRetry reports whether another attempt can give the whole answer.
func (run *idempotentRun) mayRetry(ctx context.Context, failed error) bool {
	if ctx.Err() != nil || run.broken {
		return false
	}
	kind := fault.KindOf(failed)
	return kind == fault.BackendFailed || kind == fault.StreamCut || kind == fault.OutcomeUnknown
}

func (run *idempotentRun) outcome(failed error) dispatch.Outcome {
	switch {
	case failed == nil:
		return dispatch.Succeeded
	case fault.KindOf(failed) == fault.Cancelled:
		return dispatch.Cancelled
	default:
		return dispatch.Failed
	}
}
