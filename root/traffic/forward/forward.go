// Package forward carries one request to a backend server and its whole answer
// back. It knows no front end: requests and answers are typed. Idempotent work
// is tried again, also from the exact offset of a cut stream; other work is
// recorded in the ledger and sent at most once.
package forward

import (
	"context"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

const part = "traffic/forward"

// maxAttempts bounds how often one idempotent request is sent.
const maxAttempts = 4

// Request is one caller's request.
type Request struct {
	// Work is what admission and scheduling see.
	Work dispatch.Request
	Call engine.Call
	// Key is the caller's idempotency key; empty when none was given.
	Key string
	// Idempotent work may run again.
	Idempotent bool
}

// Sink takes the answer. Head comes first, then either one Body or events up
// to the one with Done. An error from a Sink means that the caller has gone.
type Sink interface {
	Head(engine.Head) error
	Body([]byte) error
	Event(engine.Event) error
}

// Submitter commits commands, as the control loop does.
type Submitter interface {
	Submit(ctx context.Context, cmd replicated.Command) (replicated.Result, error)
}

// Options configure a Forwarder.
type Options struct {
	Dispatcher *dispatch.Dispatcher
	Client     engine.Client
	Submitter  Submitter
	// VM and Incarnation name this process in the ledger.
	VM          string
	Incarnation uint64
	// NewID returns a unique id for attempts and keys.
	NewID func() string
}

// Forwarder serves requests.
type Forwarder struct{ Options }

// New returns a Forwarder.
func New(o Options) *Forwarder { return &Forwarder{o} }

// Serve carries one request. A nil error means that the sink has the whole
// answer; otherwise the error says whether the work ran.
func (f *Forwarder) Serve(ctx context.Context, r Request, sink Sink) error {
	if r.Idempotent {
		return f.serveIdempotent(ctx, r, sink)
	}
	return f.serveOnce(ctx, r, sink)
}

// transfer moves the answer to the sink and returns the number of events moved.
// pass is asked before each event; false ends the transfer.
func transfer(a engine.Answer, sink Sink, lease *dispatch.Lease, headSent *bool, pass func() bool) (int, error) {
	head := a.Head()
	if !head.Stream {
		body, err := a.Body()
		if err != nil {
			return 0, err
		}
		return 0, sendWhole(sink, head, body)
	}
	if !*headSent {
		*headSent = true
		if err := sink.Head(head); err != nil {
			return 0, gone(err)
		}
	}
	return moveEvents(a, sink, lease, pass)
}

func sendWhole(sink Sink, head engine.Head, body []byte) error {
	if err := sink.Head(head); err != nil {
		return gone(err)
	}
	if err := sink.Body(body); err != nil {
		return gone(err)
	}
	return nil
}

func moveEvents(a engine.Answer, sink Sink, lease *dispatch.Lease, pass func() bool) (int, error) {
	moved := 0
	for {
		ev, err := a.Next()
		if err != nil {
			return moved, err
		}
		lease.Tokens(1)
		if !pass() {
			return moved, errMoved()
		}
		if err := sink.Event(ev); err != nil {
			return moved, gone(err)
		}
		moved++
		if ev.Done {
			return moved, nil
		}
	}
}

// gone says that the caller no longer takes the answer.
func gone(err error) error {
	return fault.Wrap(err, fault.Cancelled, part, "the caller has gone").WithRan(fault.RanYes)
}

// isWorthRetry reports whether another server may do better on an idempotent call.
func isWorthRetry(status int) bool { return status == 429 || status >= 500 }

// commitTimeout bounds the wait for one commit of the ledger.
const commitTimeout = 6 * time.Second

// withDeadline bounds ctx; a zero deadline is none.
func withDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	if at.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, at)
}

// commit submits one ledger command and returns its outcome.
func (f *Forwarder) commit(ctx context.Context, wait time.Duration, cmd replicated.Command) (ledger.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	res, err := f.Submitter.Submit(ctx, cmd)
	if err != nil {
		return ledger.Outcome{}, err
	}
	if res.Work != nil {
		return *res.Work, nil
	}
	if res.Err != nil {
		return ledger.Outcome{}, res.Err
	}
	return ledger.Outcome{}, fault.New(fault.Internal, part, "the ledger gave no outcome")
}
