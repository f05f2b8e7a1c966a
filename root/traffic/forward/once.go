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

// onceRun is one attempt at work that must not repeat.
//
// Invariants: Begin is committed before the first byte goes out; after that
// byte the work is never sent again; Cancel is committed only when no byte went
// out and none will.
type onceRun struct {
	f       *Forwarder
	r       Request
	sink    Sink
	key     ledger.Key
	attempt string
	private bool
}

func (f *Forwarder) serveOnce(ctx context.Context, r Request, sink Sink) error {
	ctx, cancel := withDeadline(ctx, r.Work.Deadline)
	defer cancel()
	run := &onceRun{f: f, r: r, sink: sink, attempt: f.NewID(), private: r.Key == ""}
	run.key = ledger.Key{Caller: r.Work.Caller, ID: r.Key}
	if run.private {
		run.key.ID = f.NewID()
		return run.placeFirst(ctx)
	}
	return run.beginFirst(ctx)
}

// placeFirst serves a request without a caller's key: no resend can exist, so
// a refusal for want of a place needs no record.
func (run *onceRun) placeFirst(ctx context.Context) error {
	lease, err := run.f.Dispatcher.Acquire(ctx, run.r.Work)
	if err != nil {
		return err
	}
	answered, err := run.begin(ctx)
	if answered || err != nil {
		lease.Done(dispatch.Cancelled)
		return err
	}
	return run.send(ctx, lease)
}

// beginFirst serves a request with a caller's key. The record is read and made
// first: an earlier attempt may have run, and then no refusal may say "not run".
func (run *onceRun) beginFirst(ctx context.Context) error {
	answered, err := run.begin(ctx)
	if answered || err != nil {
		return err
	}
	lease, err := run.f.Dispatcher.Acquire(ctx, run.r.Work)
	if err != nil {
		run.cancel(ctx)
		return err
	}
	return run.send(ctx, lease)
}

// begin asks the ledger for the right to send. answered means that the sink
// has the recorded answer of an earlier attempt.
func (run *onceRun) begin(ctx context.Context) (answered bool, err error) {
	out, err := run.f.commit(ctx, commitTimeout, replicated.BeginWork{Begin: ledger.Begin{
		Key:          run.key,
		Attempt:      run.attempt,
		Digest:       run.digest(),
		Entry:        run.f.VM,
		Incarnation:  run.f.Incarnation,
		GeneratedKey: run.private,
	}})
	if err != nil {
		run.cancel(ctx)
		return false, run.beginFailed(err)
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

// beginFailed keeps the claim honest: this attempt did not run, but with a
// caller's key an earlier one may have.
func (run *onceRun) beginFailed(err error) error {
	out := fault.From(err)
	if run.private {
		return out.WithRan(fault.RanNo)
	}
	return out.WithRan(fault.RanUnknown)
}

func (run *onceRun) digest() ledger.Digest {
	c := run.r.Call
	return ledger.DigestOf([]byte(run.r.Work.Class), []byte(run.r.Work.Target), []byte(c.Method), []byte(c.Path), c.Body)
}

// outcomeGrace is how long past the deadline the answer to work that was sent is
// awaited, since an outcome that is known is worth more than one in time.
const outcomeGrace = 30 * time.Second

// send transmits the work. From here on the caller's departure changes
// nothing: the outcome is awaited and recorded.
func (run *onceRun) send(ctx context.Context, lease *dispatch.Lease) error {
	if ctx.Err() != nil {
		lease.Done(dispatch.Cancelled)
		run.cancel(ctx)
		return fault.From(ctx.Err()).WithRan(fault.RanNo)
	}
	ctx, stop := withDeadline(context.WithoutCancel(ctx), run.outcomeDeadline())
	defer stop()
	call := run.r.Call
	call.Once = true
	answer, err := run.f.Client.Do(ctx, lease.Server(), call)
	if err != nil {
		lease.Done(dispatch.Failed)
		return run.sendFailed(ctx, lease, err)
	}
	defer answer.Close()
	if answer.Head().NotRun {
		lease.Done(dispatch.Failed)
		run.cancel(ctx)
		return refused(lease, answer.Head())
	}
	return run.receive(ctx, lease, answer)
}

// outcomeDeadline is when an answer is no longer awaited; zero without a deadline.
func (run *onceRun) outcomeDeadline() time.Time {
	if run.r.Work.Deadline.IsZero() {
		return time.Time{}
	}
	return run.r.Work.Deadline.Add(outcomeGrace)
}

func (run *onceRun) sendFailed(ctx context.Context, lease *dispatch.Lease, err error) error {
	out := fault.Wrap(err, fault.OutcomeUnknown, part, "%s failed", lease.Server().ID)
	var send *engine.SendError
	if errors.As(err, &send) && send.NotSent {
		run.cancel(ctx)
		return fault.Wrap(err, fault.BackendFailed, part, "%s could not be reached", lease.Server().ID).WithRan(fault.RanNo)
	}
	run.finish(ctx, replicated.FinishWork{Finish: ledger.Finish{Unknown: true}})
	return out
}

// receive takes the whole answer, records it, and hands it on.
func (run *onceRun) receive(ctx context.Context, lease *dispatch.Lease, answer engine.Answer) error {
	rec := &recorder{sink: run.sink, limit: ledger.DefaultLimits().MaxResponseBytes}
	var sent bool
	moved, err := transfer(answer, rec, lease, &sent, always)
	if err != nil {
		lease.Done(dispatch.Failed)
		run.finish(ctx, replicated.FinishWork{Finish: ledger.Finish{Unknown: true}})
		return fault.From(err).WithRan(ranAfter(moved))
	}
	lease.Done(dispatch.Succeeded)
	run.finish(ctx, replicated.FinishWork{Finish: ledger.Finish{Response: rec.answer.Bounded()}})
	return rec.flush()
}

// ranAfter is the claim for an answer that broke after some events.
func ranAfter(events int) fault.Ran {
	if events > 0 {
		return fault.RanYes
	}
	return fault.RanUnknown
}

// finish records the outcome. A failure to record leaves the key open or
// unknown, so a resend is refused and never run.
func (run *onceRun) finish(ctx context.Context, cmd replicated.FinishWork) {
	cmd.Key = run.key
	cmd.Attempt = run.attempt
	_, _ = run.f.commit(context.WithoutCancel(ctx), commitTimeout, cmd)
}

// cancelTimeout bounds the wait for a Cancel. The control thread goes on
// proposing it after the wait.
const cancelTimeout = 1 * time.Second

// cancel records that this attempt never sent and never will. The record of a
// Cancel that is lost stays open, so a resend is refused and never run.
func (run *onceRun) cancel(ctx context.Context) {
	cmd := replicated.CancelWork{Cancel: ledger.Cancel{Key: run.key, Attempt: run.attempt}}
	_, _ = run.f.commit(context.WithoutCancel(ctx), cancelTimeout, cmd)
}

// replay hands a recorded answer to the sink.
func (run *onceRun) replay(a ledger.Response) error {
	head := engine.Head{Status: a.Status, Headers: []engine.Header{{Name: "Content-Type", Value: a.ContentType}}}
	return sendWhole(run.sink, head, a.Body)
}

// always lets every event through: work that must not repeat stays where it is.
func always() bool { return true }
