// Package relay forwards one request that matches a route, byte for byte, to backend
// servers and relays the response to the caller; package forward serves requests of
// traffic classes. It depends on no front end and no wire format: a Backend implements
// the protocol of backend servers, a Sink receives the response. A request that is not
// idempotent is sent again only if no server can have run it; others are retried within
// the route's maximum number of attempts and the service's retry budget. The fleet's
// entries, the VMs that accept callers' requests, share each service's retry budget and
// its limit on connections.
package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/clock"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/placement"
)

const part = "traffic/relay"

// Request is one request of a caller, as received.
type Request struct {
	// ID is the request id sent by the caller.
	ID string
	// Host and Path select the route.
	Host, Path string
	Method     string
	// RequestTarget is the request target, path and query, as received.
	RequestTarget string
	Headers       []engine.Header
	Body          []byte
	Arrived       time.Time
	// Timeout is how long the caller waits after Arrived; 0 if it did not say.
	Timeout time.Duration
	// LastEventID is the number of the last event that the caller has; 0 for none.
	LastEventID uint64
	// Keys are the digests of the tenants' keys that the request carries, usually one.
	Keys []routes.KeyDigest
	// Prompt describes the prompt of a model request; zero for others.
	Prompt Prompt
}

// Prompt is the caller's description of a prompt.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxOutputTokens limits the response.
	Tokens, MaxOutputTokens int
	// Segments are the segments of the prompt in order. Prompts with the same prefix
	// share their leading segments.
	Segments []PromptSegment
}

// PromptSegment is one segment of a prompt. Segments with equal content have equal
// ids.
type PromptSegment struct {
	ID     string
	Tokens int
}

// Transmission holds the parameters of one transmission of a request to one backend
// server.
type Transmission struct {
	*Request
	// Deadline is the time after which the backend server may stop working on the
	// request.
	Deadline time.Time
	// LastEventID is the number of the last event received; 0 starts from the beginning.
	LastEventID uint64
	// Priority is the request's rank in the engine's queue; 0 is the most urgent.
	Priority int
	// Tenant is the name of the tenant whose key the request carries; empty for none.
	Tenant string
	// Cache identifies the KV cache of the prompt on the engine that prefilled it; nil
	// for none.
	Cache *CacheHandle
	// CopyFrom is the base URL of the engine from whose KV cache the shared segments of
	// the prompt are copied first; empty for none.
	CopyFrom string
	// MaxConnections limits this process's connections to the server; 0 for no limit.
	MaxConnections int
}

// CacheHandle identifies the KV cache of one prompt that an engine keeps until
// another engine fetches it.
type CacheHandle struct {
	// Server is the engine that keeps the cache.
	Server fleet.Server
	Handle string
	// Tenant is the tenant of the request with the prompt; empty for none.
	Tenant string
}

// Response is a backend server's response that is being received.
type Response interface {
	// Head returns the status and headers. NotRun is set if the server states that it
	// did not run the request, Stream if events follow.
	Head() engine.Head
	// Body returns the complete body of a response without events.
	Body() ([]byte, error)
	// Next returns the next complete event, or io.EOF after the last one.
	Next() (engine.VerbatimEvent, error)
	// Close releases the connection. If the response is incomplete, this cancels the
	// request at the server.
	Close()
}

// Backend implements the protocol of backend servers. A failure before the response
// begins is a *engine.SendError.
type Backend interface {
	Send(ctx context.Context, s fleet.Server, t Transmission) (Response, error)
	// Prefill processes the prompt and keeps its KV cache on the server. A refusal is
	// an error of kind fault.BackendFailed. The head is that of the response, also of a
	// refusal, and zero without a response.
	Prefill(ctx context.Context, s fleet.Server, t Transmission) (engine.Head, CacheHandle, error)
	// Release frees a KV cache that no engine will fetch.
	Release(ctx context.Context, h CacheHandle) error
	// Check opens a connection to the server and closes it. engine.Gone classifies its
	// error.
	Check(ctx context.Context, s fleet.Server) error
}

// Sink receives the response: either one call of WriteResponse, or WriteHead followed
// by WriteEvent for each event. An error means that the caller has disconnected.
type Sink interface {
	WriteResponse(h engine.Head, body []byte) error
	WriteHead(h engine.Head) error
	WriteEvent(ev engine.VerbatimEvent) error
}

// Options configure a Relay.
type Options struct {
	Views   *view.Store
	Placer  *placement.Placer
	Backend Backend
	// RetryBudget holds this entry's share of each service's retry budget.
	RetryBudget *RetryBudget
	// Observer counts attempts by outcome.
	Observer Observer
	// Segments observes the prompt segments of requests.
	Segments SegmentObserver
	// Random returns a random number in [0,1).
	Random func() float64
	// MaxBodyBytes limits the body of a request while the routes set no limit.
	MaxBodyBytes int64
	// Started is when this process started to serve requests.
	Started time.Time
	// LeaseNow is the clock by which the leases of views are measured; nil means
	// clock.Now.
	LeaseNow func() time.Time
	Log      logr.Logger
}

// Observer counts attempts by outcome, checks of servers, and what suspects cause.
type Observer interface {
	// ObserveAttempt counts one attempt at a server. timeToFirstOutput is 0 if there was
	// no output.
	ObserveAttempt(stage, outcome string, timeToFirstOutput time.Duration)
	// ObserveCheck counts one request for which a server was checked, by the result.
	ObserveCheck(result string)
	// ObserveProbe counts one probe that was granted, by its result.
	ObserveProbe(result string)
	// ObserveSuspectRefusal counts one request that was refused for a suspect.
	ObserveSuspectRefusal()
}

// Relay serves routed requests.
type Relay struct {
	Options
	inFlight   atomic.Int64
	ending     *ending
	successLog logSampler
	checks     *ServerChecks
	tenants    tenantIndex

	refusedKeys refusedKeys
}

// New returns a Relay.
func New(o Options) *Relay {
	if o.LeaseNow == nil {
		o.LeaseNow = clock.Now
	}
	return &Relay{Options: o, ending: newEnding(), checks: newServerChecks(o.Backend.Check, o.Log)}
}

// Checks returns the service that checks whether servers have ended.
func (r *Relay) Checks() *ServerChecks { return r.checks }

// InFlight returns the number of requests being served.
func (r *Relay) InFlight() int { return int(r.inFlight.Load()) }

// BodyLimit returns the maximum size of a request body in bytes.
func (r *Relay) BodyLimit() int64 {
	v := r.Views.Load()
	if v == nil || v.Routes == nil || v.Routes.Limits.MaxBodyBytes <= 0 {
		return r.MaxBodyBytes
	}
	limit := int64(v.Routes.Limits.MaxBodyBytes)
	if !v.Fresh(r.LeaseNow()) {
		// The limit may have been raised since.
		return max(limit, r.MaxBodyBytes)
	}
	return limit
}

// Serve handles one request. A nil error means that the sink has the complete
// response; otherwise the error says whether the request ran.
func (r *Relay) Serve(ctx context.Context, req *Request, sink Sink) error {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	r.awaitRoutes(ctx, req)
	run, err := r.match(req)
	if err != nil {
		return err
	}
	run.sink = sink
	run.position = streamPosition{lastID: req.LastEventID, before: req.LastEventID}
	run.deadline = req.Arrived.Add(run.route.Timeout)
	if req.Timeout > 0 && req.Timeout < run.route.Timeout {
		run.deadline = req.Arrived.Add(req.Timeout)
	}
	if err := r.ending.refuse(run.deadline); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, run.deadline)
	defer cancel()
	stop := context.AfterFunc(r.ending.reached, cancel)
	defer stop()
	r.RetryBudget.CountRequest(run.service.Name, req.Arrived)
	return run.serve(ctx)
}

// match returns the run of a request that matches a route and whose keys admit it, with a
// service chosen by the route's weights.
func (r *Relay) match(req *Request) (*requestRun, error) {
	v := r.Views.Load()
	if v == nil || v.Routes == nil {
		return nil, errNoRoutes()
	}
	route, found := v.Routes.Match(req.Host, req.Path)
	if !found {
		return nil, errNoRoute(req, v, r.LeaseNow())
	}
	decision, err := r.admit(v, route, req)
	if err != nil {
		return nil, err
	}
	service, _ := v.Routes.Service(route.PickService(r.Random()))
	return &requestRun{
		Relay: r, id: req.ID, req: req, route: route, service: service,
		routesVersion: v.Routes.Version, document: v.Routes, decision: decision,
	}, nil
}
