// Package engine is the client for backend servers: OpenAI-style completions
// with server-sent events, and plain services, both over HTTP/1.1.
//
// HTTPClient exposes typed calls, responses and events. By event ids of the form
// "request-id/number" it detects events of other requests, duplicates and gaps.
//
// Transport, on which HTTPClient is built, sends requests with any target, header fields
// and body over its own connection pool, each at most once. VerbatimReader splits a response body into
// events without changing their bytes, and reads event ids that are plain numbers.
package engine

import (
	"context"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

const part = "traffic/engine"

// Header is one header field that is forwarded unchanged.
type Header struct{ Name, Value string }

// Call is one request to a backend server.
type Call struct {
	// RequestID correlates the response and each of its events with this call.
	RequestID string
	Method    string
	// RequestTarget is the path and query sent to the backend server.
	RequestTarget string
	Headers       []Header
	Body          []byte
	// Stream requests a response as server-sent events.
	Stream bool
	// ResumeAfter is the number of events already received, after which the
	// stream resumes; 0 requests the stream from its start.
	ResumeAfter int
	// Sent holds the numbered events already received, which the response adds to; events
	// that a server repeats must be the same. With nil they are not compared.
	Sent *SentEvents
	// AtMostOnce sends the call on a new connection. An idle one may be closed by the
	// server just as the call arrives, which leaves its outcome unknown.
	AtMostOnce bool
}

// Head is the status line and header fields of a response.
type Head struct {
	Status  int
	Headers []Header
	// Stream is set when the body is a stream of events.
	Stream bool
	// Unframed is set when the body ends with its connection; see Unframed.
	Unframed bool
	// NotRun is set when the backend server states that it did not execute the
	// request.
	NotRun bool
	// Leaving is set when the backend server states that it is shutting down.
	Leaving bool
	// RetryAfter is how long the backend server, which refused the request, wants no
	// further ones; 0 if it did not say.
	RetryAfter time.Duration
	// LimitPerSecond is the number of requests per second that the backend server takes
	// from all VMs together; 0 if it names none.
	LimitPerSecond float64
}

// Event is one server-sent event of a response.
type Event struct {
	// Data is the value of the data field; several lines are joined by newlines.
	Data []byte
	// Done is set on the event that ends a complete stream.
	Done bool
}

// Response is a response whose body may still be arriving.
type Response interface {
	Head() Head
	// Body reads the body of a response that is not a stream.
	Body() ([]byte, error)
	// Next returns the next event. It must not be called after the event with
	// Done set.
	Next() (Event, error)
	// Resumable reports whether an interrupted stream can be resumed right after
	// the last event that Next returned. A response to a call with ResumeAfter is
	// resumable only once Next has returned an event.
	Resumable() bool
	// Close releases the connection. A response that was not read to its end is
	// aborted, which cancels the request at the backend server.
	Close()
}

// SendError is a failure to send a call or to receive the head of its response.
type SendError struct {
	// NotSent is set when no byte of the request can have reached the backend
	// server, so the request can be sent again safely.
	NotSent bool
	Err     error
}

// Error returns the message of the cause.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Client sends calls to backend servers.
type Client interface {
	// Do sends a call and returns once the head of the response has arrived.
	// Its error is a *SendError.
	Do(ctx context.Context, s fleet.Server, c Call) (Response, error)
}
