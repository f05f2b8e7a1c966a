// Package frontdoor is the HTTP front end for callers and for backend servers
// that announce themselves. It encodes and decodes; decisions lie elsewhere.
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
)

const part = "traffic/frontdoor"

// Header fields of the protocol towards callers.
const (
	ClassHeader       = "Wagtaildyke-Class"
	CallerHeader      = "Wagtaildyke-Caller"
	DeadlineHeader    = "Wagtaildyke-Deadline-Ms"
	IdempotencyHeader = "Idempotency-Key"
	requestIDHeader   = "X-Request-Id"
	retryHeader       = "X-Should-Retry"
)

// Limits bound what one request may take.
type Limits struct {
	MaxBodyBytes int64
	BodyTimeout  time.Duration
	WriteTimeout time.Duration
}

// Options configure a Handler.
type Options struct {
	Views     *view.Store
	Forwarder *forward.Forwarder
	// Announce hands an announcement to the control thread.
	Announce func(ctx context.Context, s fleet.Server)
	Limits   Limits
	// AddressLifetime is how long callers may keep an address answer.
	AddressLifetime time.Duration
	NewID           func() string
	Log             logr.Logger
	// Refused is told of every refusal; Served of every whole answer.
	Refused func(class string, kind fault.Kind)
	Served  func(class string, t Timing)
}

// serviceMethods are the methods that reach a plain service.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// Timing says how long a whole answer took from the arrival of its request.
type Timing struct {
	// FirstToken is 0 for an answer that was no stream.
	FirstToken, Whole time.Duration
}

// Handler serves callers.
type Handler struct {
	Options
	inFlight atomic.Int64
	router   chi.Router
}

// New returns the handler.
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

// InFlight returns the number of callers' requests being served.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.router.ServeHTTP(w, r)
}

func (h *Handler) notFound(w http.ResponseWriter, r *http.Request) {
	h.refuse(w, h.NewID(), "", fault.New(fault.NotFound, part, "no such path: %s", r.URL.Path))
}

func (h *Handler) methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	h.refuse(w, h.NewID(), "", fault.New(fault.MethodNotAllowed, part, "%s is not allowed here", r.Method))
}

// errNoView refuses what an entry may not do without a live view.
func errNoView() error {
	return fault.New(fault.NotReady, part, "this entry has no live view").WithRetryAfter(time.Second)
}
