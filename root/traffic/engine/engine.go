// Package engine speaks the protocol of backend servers: OpenAI-style
// completions with server-sent events, and plain services over HTTP. Callers
// of this package see typed calls, answers and events only.
package engine

import (
	"context"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

const part = "traffic/engine"

// Header is one header field that crosses the system unchanged.
type Header struct{ Name, Value string }

// Call is one request to a backend server.
type Call struct {
	// RequestID binds every event of the answer to this call.
	RequestID string
	Method    string
	// Path is the path and query on the backend server.
	Path    string
	Headers []Header
	Body    []byte
	// Stream asks for server-sent events.
	Stream bool
	// ResumeAfter is the number of events already received; 0 starts anew.
	ResumeAfter int
	// Once forbids any second transmission of the call's bytes.
	Once bool
}

// Head is the start of an answer.
type Head struct {
	Status  int
	Headers []Header
	// Stream says that events follow; otherwise one Body does.
	Stream bool
	// NotRun is set when the backend server itself says that it ran nothing.
	NotRun bool
}

// Event is one server-sent event of an answer.
type Event struct {
	// Data is the payload without the field name.
	Data []byte
	// Done is set on the last event of a whole answer.
	Done bool
}

// Answer is an answer in progress.
type Answer interface {
	Head() Head
	// Body returns the whole body of an answer without events.
	Body() ([]byte, error)
	// Next returns the next event. After the event with Done it is not called again.
	Next() (Event, error)
	// Resumable reports whether a break can be mended from the exact offset.
	Resumable() bool
	// Close ends the call; an unfinished one is cancelled at the backend server.
	Close()
}

// SendError says that a call failed before an answer began.
type SendError struct {
	// NotSent is set when no byte of the call can have reached the backend server.
	NotSent bool
	Err     error
}

// Error returns the cause's message.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Client sends calls to backend servers.
type Client interface {
	// Do sends a call. A failure before the answer began is a *SendError.
	Do(ctx context.Context, s fleet.Server, c Call) (Answer, error)
}
