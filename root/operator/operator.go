// Package operator is the HTTP front end for operators: state, changes of the
// table, drains, the supervisor tree and metrics.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/operator/burn"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

const part = "operator"

// Submitter commits commands, as the control loop does.
type Submitter interface {
	Submit(ctx context.Context, cmd replicated.Command) (replicated.Result, error)
}

// Reader reads replicated state that views don't carry.
type Reader interface {
	// History returns the accepted changes of the table, oldest first. The error
	// is of kind fault.NoQuorum or fault.NotLeader when the state can't be read.
	History(ctx context.Context) ([]table.Record, error)
}

// Options configure the operator part.
type Options struct {
	Listener net.Listener
	// Token is the bearer token; empty means that none is asked for.
	Token     string
	VM        string
	Views     *view.Store
	Submitter Submitter
	// Reader is nil in a process that can't read replicated state.
	Reader Reader
	Burn   *burn.Recorder
	Tree   func() supervise.Info
	// Metrics are published under /debug/vars beside those of the process.
	Metrics func() any
	Log     logr.Logger
}

// Server is the service that listens for operators.
type Server struct {
	Options
	http *http.Server
}

// Bounds on operators' requests.
const (
	maxBodyBytes  = 4 << 20
	headerTimeout = 5 * time.Second
	submitTimeout = 15 * time.Second
)

// New returns the service.
func New(o Options) *Server {
	s := &Server{Options: o}
	r := chi.NewRouter()
	r.Use(s.authorize)
	r.Get("/v1/tree", s.tree)
	r.Get("/v1/fleet", s.fleet)
	r.Get("/v1/table", s.getTable)
	r.Put("/v1/table", s.putTable)
	r.Get("/v1/table/history", s.history)
	r.Post("/v1/drains", s.drain)
	r.Post("/v1/confirmations", s.confirmDead)
	r.Put("/v1/fencing", s.setFencing)
	r.Get("/v1/report", s.report)
	r.Post("/v1/orders", s.order)
	r.Get("/debug/vars", s.vars)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		s.refuse(w, fault.New(fault.NotFound, part, "no such path: %s", r.URL.Path))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		s.refuse(w, fault.New(fault.MethodNotAllowed, part, "%s is not allowed here", r.Method))
	})
	s.http = &http.Server{Handler: r, ReadHeaderTimeout: headerTimeout}
	return s
}

// Serve runs until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.http.Close() })
	defer stop()
	err := s.http.Serve(s.Listener)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// authorize asks for the bearer token when one is set.
func (s *Server) authorize(next http.Handler) http.Handler {
	want := []byte("Bearer " + s.Token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if s.Token != "" && subtle.ConstantTimeCompare(got, want) != 1 {
			s.refuse(w, fault.New(fault.Unauthorized, part, "the bearer token is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Refusal is the JSON form of a refusal.
type Refusal struct {
	Kind    string `json:"kind"`
	Ran     string `json:"ran"`
	Message string `json:"message"`
}

func (s *Server) refuse(w http.ResponseWriter, err error) {
	e := fault.From(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Kind.Answer().HTTPStatus)
	writeJSON(w, map[string]Refusal{"error": {e.Kind.String(), e.Ran.String(), e.Error()}})
}

// readJSON decodes a bounded body without unknown fields.
func readJSON(w http.ResponseWriter, r *http.Request, v any) error {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return fault.New(fault.Invalid, part, "the body is not as it should be: %v", err)
	}
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	// An operator that has gone can't be told.
	_ = enc.Encode(v)
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Burn.Snapshot()) }

func (s *Server) tree(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Tree()) }

// vars shows the process's expvar metrics and this part's own.
func (s *Server) vars(w http.ResponseWriter, _ *http.Request) {
	out := map[string]any{
		"wagtaildyke": s.Metrics(),
		"classes":     s.Burn.Totals(),
		"tree":        s.Tree(),
	}
	expvar.Do(func(kv expvar.KeyValue) { out[kv.Key] = json.RawMessage(kv.Value.String()) })
	writeJSON(w, out)
}

// submit commits a command and answers with its refusal, if any.
func (s *Server) submit(w http.ResponseWriter, r *http.Request, cmd replicated.Command) (replicated.Result, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	res, err := s.Submitter.Submit(ctx, cmd)
	if err == nil && res.Err != nil {
		err = res.Err
	}
	if err != nil {
		s.refuse(w, err)
		return res, false
	}
	return res, true
}
