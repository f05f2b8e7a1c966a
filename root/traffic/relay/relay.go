// Package relay carries one routed request, byte for byte, to backend servers
// and the answer back. It knows no front end and no wire format: a Backend
// speaks to backend servers, a Sink takes the answer. Requests that must not
// repeat are sent at most once; others within the route's attempts and the
// fleet's retry budget.
package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/placement"
)

const part = "traffic/relay"

// Request is one attempt of a caller, as it came.
type Request struct {
	// ID is the caller's id of this attempt.
	ID string
	// Host and Path select the route.
	Host, Path string
	Method     string
	// Target is the path and query, unchanged.
	Target  string
	Headers []engine.Header
	Body    []byte
	Arrived time.Time
	// Wait is how long the caller waits from Arrived; 0 when it does not say.
	Wait time.Duration
	// After is the number of the last event that the caller has; 0 for none.
	After uint64
	// Prompt describes the prompt of a model request; zero for others.
	Prompt Prompt
}

// Prompt is what a caller says of its prompt.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxOutput bounds the answer.
	Tokens, MaxOutput int
	// Parts are the parts of the prompt in order; requests share leading parts.
	Parts []PromptPart
}

// PromptPart is one part of a prompt, identified by its content.
type PromptPart struct {
	ID     string
	Tokens int
}

// Attempt is one transmission of a request to one backend server.
type Attempt struct {
	*Request
	// Deadline is when the backend server may stop.
	Deadline time.Time
	// After is the number of the last event received; 0 starts anew.
	After uint64
	// Urgency ranks the request at an engine; 0 is the most urgent.
	Urgency int
	// Cache names KV cache that was prefilled elsewhere; nil for none.
	Cache *CacheHandle
	// CopyFrom is the base URL of the engine from whose KV cache the shared parts of
	// the prompt are copied first; empty for none.
	CopyFrom string
	// MaxConnections bounds this process's connections to the server; 0 for no bound.
	MaxConnections int
}

// CacheHandle names the KV cache of one prompt that an engine keeps for a taker.
type CacheHandle struct {
	// Server is the engine that keeps it.
	Server fleet.Server
	Handle string
}

// Reply is the answer of a backend server in progress.
type Reply interface {
	// Head returns status and headers. NotRun is set on the server's word that
	// it ran nothing; Stream says that events follow.
	Head() engine.Head
	// Body returns the whole body of an answer without events.
	Body() ([]byte, error)
	// Next returns the next whole event, or io.EOF after the last one.
	Next() (engine.VerbatimEvent, error)
	// Close ends the exchange; an unfinished one is cancelled at the server.
	Close()
}

// Backend speaks to backend servers. A failure before an answer began is a
// *engine.SendError.
type Backend interface {
	Send(ctx context.Context, s fleet.Server, a Attempt) (Reply, error)
	// Prefill has the prompt read and its KV cache kept. A refusal is an error
	// of kind fault.BackendFailed.
	Prefill(ctx context.Context, s fleet.Server, a Attempt) (CacheHandle, error)
	// Release frees a KV cache that nobody will take.
	Release(ctx context.Context, h CacheHandle) error
}

// Sink takes the answer: either one Whole, or a Head, events and End. An error
// means that the caller has gone.
type Sink interface {
	Whole(h engine.Head, body []byte) error
	Head(h engine.Head) error
	Event(ev engine.VerbatimEvent) error
}

// Options configure a Relay.
type Options struct {
	Views   *view.Store
	Placer  *placement.Placer
	Backend Backend
	// Retries is the fleet's retry budget.
	Retries *Retries
	// Observe counts attempts.
	Observe Observer
	// Draw returns a random number in [0,1).
	Draw func() float64
	// MaxBodyBytes bounds a request's body until routes give a bound.
	MaxBodyBytes int64
	// Started is when this process began to serve.
	Started time.Time
	Log     logr.Logger
}

// Observer counts what becomes of attempts.
type Observer interface {
	// Attempt counts one attempt at a server; first is the time to the first sign
	// of its answer, 0 without any.
	Attempt(stage, outcome string, first time.Duration)
}

// Relay serves routed requests.
type Relay struct {
	Options
	inFlight atomic.Int64
	lines    sampler
}

// New returns a Relay.
func New(o Options) *Relay { return &Relay{Options: o} }

// InFlight returns the number of requests being served.
func (r *Relay) InFlight() int { return int(r.inFlight.Load()) }

// BodyBound returns the most bytes that the body of a request may have.
func (r *Relay) BodyBound() int64 {
	v := r.Views.Load()
	if v == nil || v.Routes == nil || v.Routes.Limits.MaxBodyBytes <= 0 {
		return r.MaxBodyBytes
	}
	return int64(v.Routes.Limits.MaxBodyBytes)
}

// Serve carries one request. A nil error means that the sink has the whole
// answer; otherwise the error says whether the work ran.
func (r *Relay) Serve(ctx context.Context, req *Request, sink Sink) error {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	r.awaitRoutes(ctx, req)
	route, service, version, err := r.route(req)
	if err != nil {
		return err
	}
	run := &run{Relay: r, req: req, route: route, service: service, version: version, sink: sink, after: req.After}
	run.deadline = req.Arrived.Add(route.Timeout)
	if req.Wait > 0 && req.Wait < route.Timeout {
		run.deadline = req.Arrived.Add(req.Wait)
	}
	ctx, cancel := context.WithDeadline(ctx, run.deadline)
	defer cancel()
	r.Retries.First(service.Name, req.Arrived)
	return run.serve(ctx)
}

// route finds the route, draws the service and returns the version of the routes.
func (r *Relay) route(req *Request) (*routes.Route, *routes.Service, uint64, error) {
	v := r.Views.Load()
	if v == nil || v.Routes == nil {
		return nil, nil, 0, errNoRoutes()
	}
	route, found := v.Routes.Match(req.Host, req.Path)
	if !found {
		return nil, nil, 0, errNoRoute(req)
	}
	service, _ := v.Routes.Service(route.PickService(r.Draw()))
	return route, service, v.Routes.Version, nil
}
