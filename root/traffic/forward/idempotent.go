package forward

import (
	"context"
	"errors"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// serveIdempotent serves an idempotent request. It retries failed attempts, resumes
// broken streams, and migrates responses away from slow servers.
func (f *Forwarder) serveIdempotent(ctx context.Context, r Request, sink Sink) error {
	ctx, cancel := withDeadline(ctx, r.Dispatch.Deadline)
	defer cancel()
	lease, err := f.Dispatcher.Acquire(ctx, r.Dispatch)
	if err != nil {
		return err
	}
	run := &idempotentRun{f: f, r: r, sink: sink}
	for attempt := 1; ; attempt++ {
		failed := run.runAttempt(ctx, lease)
		if next := run.takeMigration(failed); next != nil {
			lease.Done(dispatch.Cancelled)
			lease = next
			attempt--
			continue
		}
		lease.Done(run.outcome(ctx, failed))
		if failed == nil {
			return nil
		}
		run.recordRan(failed)
		if attempt == maxAttempts || !run.mayRetry(ctx, failed) {
			return run.finalError(ctx, failed)
		}
		next, err := run.retry(ctx, lease)
		if err != nil {
			return run.noRetryError(failed, err)
		}
		lease = next
	}
}

// idempotentRun is the state of one idempotent request across its attempts.
type idempotentRun struct {
	f        *Forwarder
	r        Request
	sink     Sink
	headSent bool
	// received counts the events that the sink has; the next attempt resumes after them.
	received int
	// sent holds these events, as far as they are numbered.
	sent engine.SentEvents
	// progressed is set if the last attempt wrote an event.
	progressed bool
	// unresumable is set if no other server can continue the response.
	unresumable bool
	// migrations counts the migrations away from a slow server. migratedTo is the lease
	// on the server to which the last attempt migrated; nil for none.
	migrations int
	migratedTo *dispatch.Lease
	// ran says whether any failed attempt may have run the request.
	ran fault.Ran
}

// takeMigration returns the lease on the server that continues the response, or nil
// if the last attempt did not migrate. For a migration it records whether that attempt
// ran the request, counts the migration, and clears the list of excluded servers, so
// that later attempts may use the slow server again. It releases a lease that the
// response does not need or cannot use.
func (run *idempotentRun) takeMigration(failed error) *dispatch.Lease {
	next := run.migratedTo
	run.migratedTo = nil
	if next == nil {
		return nil
	}
	if failed == nil || run.unresumable || fault.Is(failed, fault.Cancelled) {
		next.Done(dispatch.Cancelled)
		return nil
	}
	run.recordRan(failed)
	run.migrations++
	run.r.Dispatch.Exclude = nil
	return next
}

func (run *idempotentRun) runAttempt(ctx context.Context, lease *dispatch.Lease) error {
	attempt, cancel := context.WithCancel(ctx)
	defer cancel()
	m := run.newMigration(attempt, lease, cancel)
	err := run.attempt(attempt, lease, m)
	run.migratedTo = m.stop()
	return err
}

func (run *idempotentRun) attempt(ctx context.Context, lease *dispatch.Lease, m *migration) error {
	call := run.r.Call
	call.ResumeAfter = run.received
	call.Sent = &run.sent
	run.progressed = false
	resp, err := run.f.Client.Do(ctx, lease.Server(), call)
	if err != nil {
		return run.sendFailed(lease, err)
	}
	defer resp.Close()
	if head := resp.Head(); isRetryableStatus(head.Status) {
		return statusError(lease, head)
	}
	if run.headSent && !resp.Head().Stream {
		run.unresumable = true
		return fault.New(fault.StreamCut, part, "server %s did not resume the stream", lease.Server().ID)
	}
	written, err := transfer(resp, run.sink, lease, &run.headSent, func() bool {
		return m.allowEvent(ctx, resp.Resumable())
	})
	run.received += written
	run.progressed = written > 0
	if err != nil && run.headSent && !resp.Resumable() {
		run.unresumable = true
	}
	return err
}

func (run *idempotentRun) sendFailed(lease *dispatch.Lease, err error) error {
	out := fault.Wrap(err, fault.BackendFailed, part, "request to server %s failed", lease.Server().ID)
	var send *engine.SendError
	if errors.As(err, &send) && send.NotSent {
		return out.WithRan(fault.RanNo)
	}
	return out
}

// statusError is the error for a response whose status says that the request was not
// served.
func statusError(lease *dispatch.Lease, head engine.Head) error {
	out := fault.New(fault.BackendFailed, part, "server %s responded with status %d", lease.Server().ID, head.Status)
	if head.NotRun {
		return out.WithRan(fault.RanNo)
	}
	return out
}

// recordRan updates run.ran after a failed attempt. If one attempt may have run the
// request, a later attempt that was not sent does not reset it to RanNo.
func (run *idempotentRun) recordRan(failed error) {
	switch ran := fault.From(failed).Ran; {
	case run.received > 0 || ran == fault.RanYes:
		run.ran = fault.RanYes
	case ran == fault.RanUnknown && run.ran == fault.RanNo:
		run.ran = fault.RanUnknown
	}
}

// finalError returns the error for the caller after the last attempt.
func (run *idempotentRun) finalError(ctx context.Context, failed error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		failed = fault.Wrap(failed, fault.DeadlineExceeded, part, "deadline exceeded")
	}
	return fault.From(failed).WithRan(run.ran)
}

// noRetryError returns the error of the last attempt with the reason why it was not
// retried. It keeps the kind of that error, even if the deadline passed meanwhile.
func (run *idempotentRun) noRetryError(failed, reason error) error {
	kind := fault.KindOf(failed)
	return fault.Wrap(failed, kind, part, "not retried (%v)", reason).WithRan(run.ran)
}

// retryBackoff is the delay before the next attempt if at least two servers have failed
// and no other one is available.
const retryBackoff = 500 * time.Millisecond

// retry acquires a lease on another server. If there is none and at least two servers
// are excluded, it waits for retryBackoff and then excludes only the last one. Each
// call of Dispatcher.Retry takes a retry from the budget, even if it finds no server.
func (run *idempotentRun) retry(ctx context.Context, last *dispatch.Lease) (*dispatch.Lease, error) {
	d := run.f.Dispatcher
	lease, err := d.Retry(ctx, last, run.excludeFailed(last))
	if err == nil || !fault.Is(err, fault.NoBackend) || len(run.r.Dispatch.Exclude) < 2 {
		return lease, err
	}
	if !sleep(ctx, retryBackoff) {
		return nil, err
	}
	run.r.Dispatch.Exclude = nil
	return d.Retry(ctx, last, run.excludeFailed(last))
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// excludeFailed excludes the server of the last attempt and returns the request for the
// next attempt, with MaxOutputTokens reduced by the received events. If the last attempt
// wrote an event, servers that failed earlier are no longer excluded, because they may
// have recovered during that attempt.
func (run *idempotentRun) excludeFailed(last *dispatch.Lease) dispatch.Request {
	if run.progressed {
		run.r.Dispatch.Exclude = nil
	}
	run.r.Dispatch.Exclude = append(run.r.Dispatch.Exclude, last.Server().ID)
	remaining := run.r.Dispatch
	if remaining.MaxOutputTokens > 0 {
		remaining.MaxOutputTokens = max(1, remaining.MaxOutputTokens-run.received)
	}
	return remaining
}

// mayRetry reports whether another attempt can complete the response.
func (run *idempotentRun) mayRetry(ctx context.Context, failed error) bool {
	if ctx.Err() != nil || run.unresumable {
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
