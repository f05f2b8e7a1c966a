// Package forward forwards one request of a traffic class to a backend server and
// relays the response to the caller; package relay serves requests that match a route.
// It depends on no front end: requests and responses are typed. An idempotent request
// is retried, and a broken stream is resumed after the last received event. Any other
// request is recorded in the ledger and sent at most once.
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

// maxAttempts limits the attempts of an idempotent request, not counting migrations.
const maxAttempts = 4

// Request is one request of a caller.
type Request struct {
	// Dispatch is the part of the request that admission and scheduling depend on.
	Dispatch dispatch.Request
	Call     engine.Call
	// Key is the caller's idempotency key; empty for none.
	Key string
	// Idempotent says that the request may run more than once.
	Idempotent bool
}

// Sink receives the response: WriteHead, then either one call of WriteBody, or
// WriteEvent for each event up to the one with Done. An error means that the caller
// has disconnected.
type Sink interface {
	WriteHead(engine.Head) error
	WriteBody([]byte) error
	WriteEvent(engine.Event) error
}

// Submitter commits commands to the replicated state; the control loop implements it.
type Submitter interface {
	Submit(ctx context.Context, cmd replicated.Command) (replicated.Result, error)
}

// Options configure a Forwarder.
type Options struct {
	Dispatcher *dispatch.Dispatcher
	Client     engine.Client
	Submitter  Submitter
	// VM and Incarnation identify this process in the ledger.
	VM          string
	Incarnation uint64
	// NewID returns a unique id for an attempt or a key.
	NewID func() string
}

// Forwarder serves requests.
type Forwarder struct{ Options }

// New returns a Forwarder.
func New(o Options) *Forwarder { return &Forwarder{o} }

// Serve handles one request. A nil error means that the sink has the complete
// response; otherwise the error says whether the request ran.
func (f *Forwarder) Serve(ctx context.Context, r Request, sink Sink) error {
	if r.Idempotent {
		return f.serveIdempotent(ctx, r, sink)
	}
	return f.serveAtMostOnce(ctx, r, sink)
}

// transfer writes the response to the sink and returns the number of events written.
// allowEvent is called before each event; false ends the transfer.
func transfer(resp engine.Response, sink Sink, lease *dispatch.Lease, headSent *bool, allowEvent func() bool) (int, error) {
	head := resp.Head()
	if !head.Stream {
		body, err := resp.Body()
		if err != nil {
			return 0, err
		}
		return 0, writeResponse(sink, head, body)
	}
	if !*headSent {
		*headSent = true
		if err := sink.WriteHead(head); err != nil {
			return 0, sinkError(err)
		}
	}
	return transferEvents(resp, sink, lease, allowEvent)
}

func writeResponse(sink Sink, head engine.Head, body []byte) error {
	if err := sink.WriteHead(head); err != nil {
		return sinkError(err)
	}
	if err := sink.WriteBody(body); err != nil {
		return sinkError(err)
	}
	return nil
}

func transferEvents(resp engine.Response, sink Sink, lease *dispatch.Lease, allowEvent func() bool) (int, error) {
	written := 0
	for {
		ev, err := resp.Next()
		if err != nil {
			return written, err
		}
		lease.ObserveTokens(1)
		if !allowEvent() {
			return written, errMigrated()
		}
		if err := sink.WriteEvent(ev); err != nil {
			return written, sinkError(err)
		}
		written++
		if ev.Done {
			return written, nil
		}
	}
}

// sinkError wraps an error of the sink, which means that the caller has disconnected.
func sinkError(err error) error {
	return fault.Wrap(err, fault.Cancelled, part, "caller disconnected").WithRan(fault.RanYes)
}

// isRetryableStatus reports whether another server may succeed where one responded
// with the status.
func isRetryableStatus(status int) bool { return status == 429 || status >= 500 }

// commitTimeout limits the wait for the commit of one ledger command.
const commitTimeout = 6 * time.Second

// withDeadline returns ctx with a deadline; a zero time sets none.
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
	return ledger.Outcome{}, fault.New(fault.Internal, part, "ledger command returned no outcome")
}
