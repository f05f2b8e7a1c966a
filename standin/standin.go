// Package standin is a small stand-in for a backend server: an engine with
// OpenAI-style completions or a plain service. It announces itself to entries
// and can be told to misbehave. It is meant for demos and tests.
package standin

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"
)

// Options configure a stand-in.
type Options struct {
	ID            string
	FailureDomain string
	// Models makes it an engine, Services a plain service.
	Models, Services []string
	// Slots bounds the requests that run at once; others wait on the server.
	Slots int
	// TokenInterval is the time between two tokens of one request.
	TokenInterval time.Duration
	// PrefillRate is the speed of prefill in tokens a second.
	PrefillRate int
	// ChecksFencing makes it refuse orders with an old fencing number.
	ChecksFencing bool
	// Entries are base URLs of entries to announce to, tried in order.
	Entries []string
	// Address is the base URL to announce.
	Address string
	Log     logr.Logger
}

// Server is one stand-in.
type Server struct {
	Options
	incarnation uint64
	router      chi.Router
	slots       chan struct{}
	running     atomic.Int64
	waiting     atomic.Int64
	leaving     atomic.Bool

	mu      sync.Mutex
	faults  Faults
	journal []JournalEntry
	orders  orderState
}

// Faults tell a stand-in how to misbehave.
type Faults struct {
	// SlowFactor multiplies the time of every token; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// CutAfterEvents cuts each stream after that many events; 0 never.
	CutAfterEvents int `json:"cut_after_events"`
	// CrossAnswers puts another request's id on answers.
	CrossAnswers bool `json:"cross_answers"`
	// RepeatEvents sends each event twice.
	RepeatEvents bool `json:"repeat_events"`
	// Refuse answers 503 and runs nothing.
	Refuse bool `json:"refuse"`
	// HoldMillis delays the answer of a service after the work ran.
	HoldMillis int `json:"hold_ms"`
	// DropAnswer closes the connection after the work ran.
	DropAnswer bool `json:"drop_answer"`
	// StaleLoad keeps the load report at its value from when the fault was set.
	StaleLoad bool `json:"stale_load"`
	// IgnoreOrders drops orders without an answer.
	IgnoreOrders bool `json:"ignore_orders"`
}

// JournalEntry records one piece of work that ran.
type JournalEntry struct {
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Path           string `json:"path"`
	BodyBytes      int    `json:"body_bytes"`
	// Ended is whole, cut or cancelled.
	Ended string `json:"ended"`
	// Resumed is the number of events that the caller already had.
	Resumed int `json:"resumed,omitempty"`
}

// New returns a stand-in. Its incarnation is the time of its start.
func New(o Options) *Server {
	s := &Server{Options: o, incarnation: uint64(time.Now().UnixNano()), slots: make(chan struct{}, o.Slots)}
	r := chi.NewRouter()
	r.Get("/standin/journal", s.serveJournal)
	r.Post("/standin/faults", s.serveFaults)
	r.Post("/v1/orders", s.serveOrder)
	r.Get("/v1/state", s.serveState)
	if len(o.Models) > 0 {
		r.Post("/v1/chat/completions", s.serveCompletion)
		r.Post("/v1/completions", s.serveCompletion)
	} else {
		r.NotFound(s.serveCall)
		r.MethodNotAllowed(s.serveCall)
	}
	s.router = r
	return s
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Journal returns the work that ran.
func (s *Server) Journal() []JournalEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]JournalEntry(nil), s.journal...)
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// record adds an entry and returns its index.
func (s *Server) record(e JournalEntry) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.journal = append(s.journal, e)
	return len(s.journal) - 1
}

func (s *Server) ended(i int, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.journal[i].Ended = how
}

// enter waits for a slot.
func (s *Server) enter(ctx context.Context) error {
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	select {
	case s.slots <- struct{}{}:
		s.running.Add(1)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) leave() {
	s.running.Add(-1)
	<-s.slots
}

// pause waits for d times the slow factor.
func (s *Server) pause(ctx context.Context, d time.Duration) error {
	if f := s.currentFaults().SlowFactor; f > 0 {
		d = time.Duration(float64(d) * f)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
