package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// run is the progress of one request over its attempts.
//
// Invariants: a request that is not idempotent is sent again only on a server's
// word that it ran nothing, or when no byte went out; ran never gets weaker.
type run struct {
	*Relay
	req      *Request
	route    *routes.Route
	service  *routes.Service
	sink     Sink
	deadline time.Time
	// sends counts the transmissions that reached a server.
	sends int
	// after is the number of the last event that the caller has.
	after uint64
	// headSent is set once the caller has the head of a stream.
	headSent bool
	// exclude lists the servers that failed this request.
	exclude []string
	// ran is the strongest claim about what ran so far.
	ran fault.Ran
}

// maxPlaces bounds the servers that one request tries without reaching them.
const maxPlaces = 4

func (r *run) serve(ctx context.Context) error {
	var last *fault.Error
	for range maxPlaces + r.route.MaxAttempts {
		done, err := r.attempt(ctx)
		if err == nil || done {
			return err
		}
		last = fault.From(err)
		if !r.mayGoOn(ctx, last) {
			break
		}
	}
	return r.refusal(ctx, last)
}

// attempt sends the request to one server. done means that the error is final.
func (r *run) attempt(ctx context.Context) (done bool, err error) {
	lease, err := r.Dispatcher.Acquire(ctx, r.work())
	if err != nil {
		return true, r.refusal(ctx, fault.From(err))
	}
	outcome := dispatch.Failed
	defer func() { lease.Done(outcome) }()
	reply, err := r.send(ctx, lease)
	if err != nil {
		return false, err
	}
	defer reply.Close()
	err = r.deliver(lease, reply)
	switch {
	case err == nil:
		outcome = dispatch.Succeeded
	case fault.Is(err, fault.Cancelled):
		outcome = dispatch.Cancelled
		return true, err
	}
	return false, err
}

// work is what the dispatcher sees of the request.
func (r *run) work() dispatch.Request {
	return dispatch.Request{
		ID:              r.req.ID,
		Class:           r.route.Class(),
		Target:          r.service.Name,
		PromptTokens:    r.req.Prompt.Tokens,
		MaxOutputTokens: r.req.Prompt.MaxOutput,
		Arrived:         r.req.Arrived,
		Deadline:        r.deadline,
		Exclude:         r.exclude,
	}
}

// send transmits the request within the attempts and the retry budget.
func (r *run) send(ctx context.Context, lease *dispatch.Lease) (Reply, error) {
	server := lease.Server()
	if r.sends > 0 && !r.Retries.Take(r.service.Name, time.Now()) {
		return nil, fault.New(fault.Overloaded, part, "the retry budget of %s is used up", r.service.Name).WithRan(r.ran)
	}
	reply, err := r.Backend.Send(ctx, server, Attempt{
		Request: r.req, Deadline: r.deadline, After: r.after, Urgency: r.route.Priority,
	})
	if err == nil {
		r.sends++
		return reply, nil
	}
	r.exclude = append(r.exclude, server.ID)
	failed := sendFailed(server.ID, err)
	if failed.Ran != fault.RanNo {
		r.sends++
		r.ran = fault.RanUnknown
	}
	return nil, failed
}

// deliver moves a reply to the caller.
func (r *run) deliver(lease *dispatch.Lease, reply Reply) error {
	head := reply.Head()
	server := lease.Server().ID
	if head.NotRun {
		r.exclude = append(r.exclude, server)
		return fault.New(fault.BackendFailed, part, "%s refused with status %d", server, head.Status).WithRan(fault.RanNo)
	}
	r.ran = fault.RanYes
	if head.Stream {
		return r.stream(lease, reply)
	}
	if r.headSent {
		return fault.New(fault.StreamCut, part, "%s did not resume the stream", server)
	}
	body, err := reply.Body()
	if err != nil {
		r.exclude = append(r.exclude, server)
		return err
	}
	if head.Status >= 500 && r.mayRepeat() {
		r.exclude = append(r.exclude, server)
		if r.attemptsLeft() && r.Retries.Take(r.service.Name, time.Now()) {
			return fault.New(fault.BackendFailed, part, "%s answered status %d", server, head.Status)
		}
	}
	return gone(r.sink.Whole(head, body))
}

// stream moves events to the caller until the stream ends or breaks.
func (r *run) stream(lease *dispatch.Lease, reply Reply) error {
	for {
		ev, err := reply.Next()
		if errors.Is(err, io.EOF) {
			return r.endStream(reply)
		}
		if err != nil {
			r.exclude = append(r.exclude, lease.Server().ID)
			return err
		}
		if ev.ID > 0 && ev.ID <= r.after {
			continue
		}
		if err := r.pass(reply, ev); err != nil {
			return err
		}
		lease.Tokens(1)
	}
}

func (r *run) pass(reply Reply, ev engine.VerbatimEvent) error {
	if !r.headSent {
		r.headSent = true
		if err := r.sink.Head(reply.Head()); err != nil {
			return gone(err)
		}
	}
	if ev.ID > 0 {
		r.after = ev.ID
	}
	return gone(r.sink.Event(ev))
}

// endStream ends a whole stream. One without events still has a head.
func (r *run) endStream(reply Reply) error {
	if r.headSent {
		return nil
	}
	r.headSent = true
	return gone(r.sink.Head(reply.Head()))
}

func (r *run) mayRepeat() bool { return r.route.Idempotent() }

func (r *run) attemptsLeft() bool { return r.sends < max(1, r.route.MaxAttempts) }

// mayGoOn reports whether another server may be tried after a failure.
func (r *run) mayGoOn(ctx context.Context, failed *fault.Error) bool {
	if ctx.Err() != nil || fault.Is(failed, fault.Overloaded) || !r.attemptsLeft() {
		return false
	}
	return r.mayRepeat() || (failed.Ran == fault.RanNo && r.ran == fault.RanNo)
}

// refusal is what the caller is told after the last attempt: the strongest claim
// of all attempts, and the deadline when that has passed.
func (r *run) refusal(ctx context.Context, failed *fault.Error) *fault.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		failed = fault.Wrap(failed, fault.DeadlineExceeded, part, "the deadline passed").WithRan(failed.Ran)
	}
	if r.ran != fault.RanNo {
		return failed.WithRan(r.ran)
	}
	return failed
}

// gone says that the caller no longer takes the answer.
func gone(err error) error {
	if err == nil {
		return nil
	}
	return fault.Wrap(err, fault.Cancelled, part, "the caller has gone").WithRan(fault.RanYes)
}
