// Package frontdoor is the HTTP front end for callers and for backend servers
// that announce themselves. It decodes requests and encodes responses. It also
// selects the class of a request, sets its deadline, estimates its tokens, and says
// whether a failed request should be retried. The forwarder and the control thread
// take all further decisions, so that another front end can use them.
package frontdoor

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/forward"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/intake"
)

const part = "traffic/frontdoor"

// Header fields exchanged with callers.
const (
	ClassHeader       = "Wagtaildyke-Class"
	CallerHeader      = "Wagtaildyke-Caller"
	DeadlineHeader    = "Wagtaildyke-Deadline-Ms"
	IdempotencyHeader = "Idempotency-Key"
	requestIDHeader   = "X-Request-Id"
	retryHeader       = "X-Should-Retry"
)

// Limits apply to each request.
type Limits struct {
	MaxBodyBytes int64
	// BodyTimeout is the time to read the whole request body.
	BodyTimeout time.Duration
	// WriteTimeout is the time for one write to the caller.
	WriteTimeout time.Duration
}

// Options configure a Handler.
type Options struct {
	Views     *view.Store
	Forwarder *forward.Forwarder
	// Announce passes an announcement to the control thread. For a server that is leaving,
	// it returns once that is committed.
	Announce func(ctx context.Context, s fleet.Server) error
	Limits   Limits
	// Bodies reads the bodies of requests.
	Bodies *intake.Reader
	// AddressLifetime is how long callers may cache a list of addresses.
	AddressLifetime time.Duration
	// NewID returns a unique request id.
	NewID func() string
	Log   logr.Logger
	// OnError is called for each request that ends with an error, also after part of
	// the response was sent.
	OnError func(class string, kind fault.Kind)
	// OnServed is called for each completion or service call whose response was sent
	// completely.
	OnServed func(class string, t Timing)
}

// serviceMethods are the methods that are forwarded to plain services.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// Timing holds durations of a complete response, measured from when the request
// body had been read.
type Timing struct {
	// FirstToken is the time to the first event, which stands for the first token; 0
	// if there was no event. Total is the time to the end of the response.
	FirstToken, Total time.Duration
}

// Handler is the http.Handler for callers and announcements.
type Handler struct {
	Options
	inFlight atomic.Int64
	router   chi.Router
}

// New returns a Handler with its routes set up.
func New(o Options) *Handler {
	h := &Handler{Options: o}
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", h.completion)
	r.Post("/v1/completions", h.completion)
	for _, method := range serviceMethods {
		r.MethodFunc(method, "/v1/services/{service}", h.service)
		r.MethodFunc(method, "/v1/services/{service}/*", h.service)
	}
	r.Get("/v1/addresses", h.addresses)
	r.Get("/v1/models", h.models)
	r.Post("/v1/backend-servers", h.announce)
	r.NotFound(h.notFound)
	r.MethodNotAllowed(h.methodNotAllowed)
	h.router = r
	return h
}

// InFlight returns the number of completions and service calls in progress whose
// bodies have been read.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.router.ServeHTTP(w, r)
}

func (h *Handler) notFound(w http.ResponseWriter, r *http.Request) {
	h.writeError(w, h.NewID(), "", fault.New(fault.NotFound, part, "no such path: %s", r.URL.Path))
}

func (h *Handler) methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	h.writeError(w, h.NewID(), "", fault.New(fault.MethodNotAllowed, part, "method %s is not allowed", r.Method))
}

// errNotReady returns the error for a request that is refused because the process is
// stopping or has no valid view. Its kind is NotReady in both cases.
func errNotReady() error {
	return fault.New(fault.NotReady, part, "not accepting requests: stopping, or no valid view of the control state").WithRetryAfter(time.Second)
}
