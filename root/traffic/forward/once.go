package forward

import (
	"bytes"
	"context"
	"errors"

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
	out, err := run.f.commit(ctx, replicated.BeginWork{Begin: ledger.Begin{
		Key:         run.key,
		Attempt:     run.attempt,
		Digest:      run.digest(),
		Entry:       run.f.VM,
		Incarnation: run.f.Incarnation,
		Private:     run.private,
	}})
	if err != nil {
		go run.cancel(ctx)
		return false, run.beginFailed(err)
	}
	switch out.Kind {
	case ledger.Started:
		return false, nil
	case ledger.Recorded:
		return true, run.replay(out.Answer)
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

// send transmits the work. From here on the caller's departure changes
// nothing: the outcome is awaited and recorded.
func (run *onceRun) send(ctx context.Context, lease *dispatch.Lease) error {
	if ctx.Err() != nil {
		run.cancel(ctx)
		lease.Done(dispatch.Cancelled)
		return fault.From(ctx.Err()).WithRan(fault.RanNo)
	}
	ctx = context.WithoutCancel(ctx)
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
	rec := &recorder{sink: run.sink}
	var sent bool
	_, err := transfer(answer, rec, lease, &sent)
	if err != nil {
		lease.Done(dispatch.Failed)
		run.finish(ctx, replicated.FinishWork{Finish: ledger.Finish{Unknown: true}})
		return fault.From(err).WithRan(fault.RanYes)
	}
	lease.Done(dispatch.Succeeded)
	run.finish(ctx, replicated.FinishWork{Finish: ledger.Finish{Answer: rec.answer}})
	return rec.flush()
}

// finish records the outcome. A failure to record leaves the key open or
// unknown, so a resend is refused and never run.
func (run *onceRun) finish(ctx context.Context, cmd replicated.FinishWork) {
	cmd.Key = run.key
	cmd.Attempt = run.attempt
	_, _ = run.f.commit(ctx, cmd)
}

// cancel records that this attempt never sent and never will.
func (run *onceRun) cancel(ctx context.Context) {
	cmd := replicated.CancelWork{Cancel: ledger.Cancel{Key: run.key, Attempt: run.attempt}}
	_, _ = run.f.commit(context.WithoutCancel(ctx), cmd)
}

// replay hands a recorded answer to the sink.
func (run *onceRun) replay(a ledger.Answer) error {
	head := engine.Head{Status: a.Status, Headers: []engine.Header{{Name: "Content-Type", Value: a.ContentType}}}
	return sendWhole(run.sink, head, a.Body)
}

// recorder keeps a copy of the answer. A stream passes through as it comes; a
// whole body is held back until it is recorded.
type recorder struct {
	sink   Sink
	head   engine.Head
	answer ledger.Answer
	stream bytes.Buffer
	// lost is the first error of the sink; the answer is still recorded.
	lost error
}

// Head notes status and content type.
func (rec *recorder) Head(h engine.Head) error {
	rec.head = h
	rec.answer.Status = h.Status
	for _, f := range h.Headers {
		if f.Name == "Content-Type" {
			rec.answer.ContentType = f.Value
		}
	}
	if h.Stream {
		rec.lost = rec.sink.Head(h)
	}
	return nil
}

// Body keeps the whole body.
func (rec *recorder) Body(b []byte) error {
	rec.answer.Body = b
	return nil
}

// Event keeps and passes on one event. The last one is held back.
func (rec *recorder) Event(ev engine.Event) error {
	engine.AppendEvent(&rec.stream, ev)
	if rec.lost == nil && !ev.Done {
		rec.lost = rec.sink.Event(ev)
	}
	if ev.Done {
		rec.answer.Body = rec.stream.Bytes()
	}
	return nil
}

// flush hands on what was held back.
func (rec *recorder) flush() error {
	if rec.lost != nil {
		return gone(rec.lost)
	}
	if rec.head.Stream {
		if err := rec.sink.Event(engine.Event{Data: engine.DoneData(), Done: true}); err != nil {
			return gone(err)
		}
		return nil
	}
	return sendWhole(rec.sink, rec.head, rec.answer.Body)
}
