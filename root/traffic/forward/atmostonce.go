package forward

import (
	"context"
	"errors"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// atMostOnceRun is one attempt of a request that is not idempotent.
//
// Invariants: Begin is committed before the first byte is sent; after that byte this
// attempt never sends the request again; Cancel is committed only if no byte was sent
// and none will be, or if the server stated that it did not run the request.
type atMostOnceRun struct {
	f    *Forwarder
	r    Request
	sink Sink
	key  ledger.Key
	// attempt is the unique id of this attempt.
	attempt string
	// generatedKey is set if the caller sent no key.
	generatedKey bool
}

func (f *Forwarder) serveAtMostOnce(ctx context.Context, r Request, sink Sink) error {
	ctx, cancel := withDeadline(ctx, r.Dispatch.Deadline)
	defer cancel()
	run := &atMostOnceRun{f: f, r: r, sink: sink, attempt: f.NewID(), generatedKey: r.Key == ""}
	run.key = ledger.Key{Caller: r.Dispatch.Caller, ID: r.Key}
	if run.generatedKey {
		run.key.ID = f.NewID()
		return run.serveUnkeyed(ctx)
	}
	return run.serveKeyed(ctx)
}

// serveUnkeyed serves a request without an idempotency key. It acquires the lease
// first: a refusal then needs no record, because the caller cannot refer to the
// request again.
func (run *atMostOnceRun) serveUnkeyed(ctx context.Context) error {
	lease, err := run.f.Dispatcher.Acquire(ctx, run.r.Dispatch)
	if err != nil {
		return err
	}
	replayed, err := run.begin(ctx)
	if replayed || err != nil {
		lease.Done(dispatch.Cancelled)
		return err
	}
	return run.send(ctx, lease)
}

// serveKeyed serves a request with an idempotency key. It commits Begin before it
// acquires a lease: an error of Acquire says that the request did not run, which would
// be wrong if an earlier attempt with the key did, and only the ledger knows that.
func (run *atMostOnceRun) serveKeyed(ctx context.Context) error {
	replayed, err := run.begin(ctx)
	if replayed || err != nil {
		return err
	}
	lease, err := run.f.Dispatcher.Acquire(ctx, run.r.Dispatch)
	if err != nil {
		run.cancel(ctx)
		return err
	}
	return run.send(ctx, lease)
}

// begin commits a Begin, after which the request may be sent. If replayed is set, the
// sink has the recorded response of an earlier attempt instead.
func (run *atMostOnceRun) begin(ctx context.Context) (replayed bool, err error) {
	out, err := run.f.commit(ctx, commitTimeout, replicated.BeginWork{Begin: ledger.Begin{
		Key:           run.key,
		Attempt:       run.attempt,
		RequestDigest: run.digest(),
		Entry:         run.f.VM,
		Incarnation:   run.f.Incarnation,
		GeneratedKey:  run.generatedKey,
	}})
	if err != nil {
		run.cancel(ctx)
		return false, run.beginError(err)
	}
	switch out.Kind {
	case ledger.Started:
		return false, nil
	case ledger.Recorded:
		return true, run.replay(out.Response)
	default:
		return false, out.Err()
	}
}

// beginError returns the error for a Begin that was not committed. This attempt did
// not run, but with an idempotency key an earlier one may have.
func (run *atMostOnceRun) beginError(err error) error {
	out := fault.From(err)
	if run.generatedKey {
		return out.WithRan(fault.RanNo)
	}
	return out.WithRan(fault.RanUnknown)
}

func (run *atMostOnceRun) digest() ledger.Digest {
	c := run.r.Call
	return ledger.DigestOf([]byte(run.r.Dispatch.Class), []byte(run.r.Dispatch.Target), []byte(c.Method), []byte(c.RequestTarget), c.Body)
}

// outcomeGracePeriod is how long after its deadline a request that was sent may still
// complete: a late response still settles the record, whose outcome would otherwise be
// unknown.
const outcomeGracePeriod = 30 * time.Second

// send transmits the request. Once it is sent, its outcome is awaited and recorded
// even if the caller disconnects.
func (run *atMostOnceRun) send(ctx context.Context, lease *dispatch.Lease) error {
	if ctx.Err() != nil {
		lease.Done(dispatch.Cancelled)
		run.cancel(ctx)
		return fault.From(ctx.Err()).WithRan(fault.RanNo)
	}
	ctx, stop := withDeadline(context.WithoutCancel(ctx), run.outcomeDeadline())
	defer stop()
	call := run.r.Call
	call.AtMostOnce = true
	resp, err := run.f.Client.Do(ctx, lease.Server(), call)
	if err != nil {
		lease.Done(dispatch.Failed)
		return run.sendFailed(ctx, lease, err)
	}
	defer resp.Close()
	if resp.Head().NotRun {
		lease.Done(dispatch.Failed)
		run.cancel(ctx)
		return statusError(lease, resp.Head())
	}
	return run.receive(ctx, lease, resp)
}

// outcomeDeadline returns the time until which the outcome is awaited; zero if the
// request has no deadline.
func (run *atMostOnceRun) outcomeDeadline() time.Time {
	if run.r.Dispatch.Deadline.IsZero() {
		return time.Time{}
	}
	return run.r.Dispatch.Deadline.Add(outcomeGracePeriod)
}

func (run *atMostOnceRun) sendFailed(ctx context.Context, lease *dispatch.Lease, err error) error {
	out := fault.Wrap(err, fault.OutcomeUnknown, part, "%s failed", lease.Server().ID)
	var send *engine.SendError
	if errors.As(err, &send) && send.NotSent {
		run.cancel(ctx)
		return fault.Wrap(err, fault.BackendFailed, part, "request to server %s was not sent", lease.Server().ID).WithRan(fault.RanNo)
	}
	run.finish(ctx, replicated.FinishWork{Finish: ledger.Finish{Unknown: true}})
	return out
}

// receive reads the complete response, records it, and then completes the response to
// the caller.
func (run *atMostOnceRun) receive(ctx context.Context, lease *dispatch.Lease, resp engine.Response) error {
	rec := &recorder{sink: run.sink, limit: ledger.DefaultLimits().MaxResponseBytes}
	var headSent bool
	written, err := transfer(resp, rec, lease, &headSent, allowAllEvents)
	if err != nil {
		lease.Done(dispatch.Failed)
		run.finish(ctx, replicated.FinishWork{Finish: ledger.Finish{Unknown: true}})
		return fault.From(err).WithRan(ranAfter(written))
	}
	lease.Done(dispatch.Succeeded)
	run.finish(ctx, replicated.FinishWork{Finish: ledger.Finish{Response: rec.response.Bounded()}})
	return rec.flush()
}

// ranAfter says whether a request ran, given the number of events that were received
// before its response broke off.
func ranAfter(events int) fault.Ran {
	if events > 0 {
		return fault.RanYes
	}
	return fault.RanUnknown
}

// finish records the outcome. If that fails, the record remains open or its outcome
// unknown, so another request with the key is refused and never runs.
func (run *atMostOnceRun) finish(ctx context.Context, cmd replicated.FinishWork) {
	cmd.Key = run.key
	cmd.Attempt = run.attempt
	_, _ = run.f.commit(context.WithoutCancel(ctx), commitTimeout, cmd)
}

// cancelTimeout limits the wait for the commit of a Cancel. The control thread
// continues to propose it afterwards.
const cancelTimeout = 1 * time.Second

// cancel records that this attempt has not run the request and never will. If the
// Cancel is lost, the record remains open, so another request with the key is refused
// and never runs.
func (run *atMostOnceRun) cancel(ctx context.Context) {
	cmd := replicated.CancelWork{Cancel: ledger.Cancel{Key: run.key, Attempt: run.attempt}}
	_, _ = run.f.commit(context.WithoutCancel(ctx), cancelTimeout, cmd)
}

// replay writes a recorded response to the sink.
func (run *atMostOnceRun) replay(recorded ledger.Response) error {
	head := engine.Head{Status: recorded.Status, Headers: []engine.Header{{Name: "Content-Type", Value: recorded.ContentType}}}
	return writeResponse(run.sink, head, recorded.Body)
}

// allowAllEvents permits every event: a request that is sent at most once does not
// migrate.
func allowAllEvents() bool { return true }
