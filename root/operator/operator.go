// Package operator serves the HTTP API for operators. It shows the fleet, the
// supervisor tree, reports and metrics, and it submits changes of the class table,
// drains, fencing settings, confirmations of dead processes and orders to backend
// servers.
package operator

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
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
	"github.com/wagtaildyke/wagtaildyke/root/traffic/frontdoor"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/intake"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

const part = "operator"

// Submitter commits commands to the replicated state.
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
	// Server are the limits on connections.
	Server frontdoor.ServerOptions
	// Bodies reads the bodies of requests.
	Bodies *intake.Reader
	// Token is the bearer token that requests must carry. If it is empty, requests
	// need no token.
	Token string
	// VM is the ID of this VM.
	VM        string
	Views     *view.Store
	Submitter Submitter
	// Reader is nil in a process without a replica.
	Reader Reader
	Burn   *burn.Recorder
	// Tree returns the state of the supervisor tree.
	Tree func() supervise.Info
	// Metrics returns the value that /debug/vars shows under "wagtaildyke".
	Metrics func() any
	Log     logr.Logger
}

// Server is the HTTP server for operators.
type Server struct {
	Options
	http *frontdoor.Server
}

// Limits of a request.
const (
	maxBodyBytes  = 4 << 20
	bodyTimeout   = 10 * time.Second
	submitTimeout = 15 * time.Second
)

// New returns a Server that is not yet listening. Serve runs it.
func New(o Options) *Server {
	s := &Server{Options: o}
	r := chi.NewRouter()
	r.Use(s.authorize)
	r.Get("/v1/tree", s.getTree)
	r.Get("/v1/fleet", s.getFleet)
	r.Get("/v1/table", s.getTable)
	r.Put("/v1/table", s.putTable)
	r.Get("/v1/table/history", s.getHistory)
	r.Post("/v1/drains", s.setDrain)
	r.Post("/v1/confirmations", s.confirmDead)
	r.Put("/v1/fencing", s.setFencing)
	r.Get("/v1/report", s.getReport)
	r.Post("/v1/orders", s.handleOrder)
	r.Get("/debug/vars", s.getVars)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		s.writeError(w, fault.New(fault.NotFound, part, "no such path: %s", r.URL.Path))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		s.writeError(w, fault.New(fault.MethodNotAllowed, part, "%s is not allowed here", r.Method))
	})
	s.http = frontdoor.NewServer(o.Listener, r, o.Server)
	return s
}

// Serve handles requests until ctx ends.
func (s *Server) Serve(ctx context.Context) error { return s.http.Serve(ctx) }

// authorize rejects requests without the bearer token if one is configured.
func (s *Server) authorize(next http.Handler) http.Handler {
	want := []byte("Bearer " + s.Token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if s.Token != "" && subtle.ConstantTimeCompare(got, want) != 1 {
			s.writeError(w, fault.New(fault.Unauthorized, part, "the bearer token is missing or invalid"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ErrorBody describes an error in a JSON response.
type ErrorBody struct {
	Kind    string `json:"kind"`
	Ran     string `json:"ran"`
	Message string `json:"message"`
}

func (s *Server) writeError(w http.ResponseWriter, err error) {
	e := fault.From(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Kind.Attributes().HTTPStatus)
	writeJSON(w, map[string]ErrorBody{"error": {e.Kind.String(), e.Ran.String(), e.Error()}})
}

// readBody reads a request body of limited size.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (*intake.Body, error) {
	body, err := s.Bodies.Read(intake.FromHTTP(w, r, maxBodyBytes, bodyTimeout))
	var typed *fault.Error
	if err == nil || errors.As(err, &typed) {
		return body, err
	}
	return nil, fault.New(fault.Invalid, part, "invalid request body: %v", err)
}

// readJSON decodes a request body of limited size. Unknown fields are an error.
func (s *Server) readJSON(w http.ResponseWriter, r *http.Request, v any) error {
	body, err := s.readBody(w, r)
	if err != nil {
		return err
	}
	defer body.Release()
	dec := json.NewDecoder(bytes.NewReader(body.Bytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return fault.New(fault.Invalid, part, "invalid request body: %v", err)
	}
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	// An error here means that the client has disconnected.
	_ = enc.Encode(v)
}

func (s *Server) getReport(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Burn.Snapshot()) }

func (s *Server) getTree(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Tree()) }

// getVars responds with the metrics of Options, the counters of each class, the
// supervisor tree and the expvar variables of the process.
func (s *Server) getVars(w http.ResponseWriter, _ *http.Request) {
	out := map[string]any{
		"wagtaildyke": s.Metrics(),
		"classes":     s.Burn.Totals(),
		"tree":        s.Tree(),
	}
	expvar.Do(func(kv expvar.KeyValue) { out[kv.Key] = json.RawMessage(kv.Value.String()) })
	writeJSON(w, out)
}

// submit commits a command. If that fails or the command is rejected, submit writes
// the error response and returns false.
func (s *Server) submit(w http.ResponseWriter, r *http.Request, cmd replicated.Command) (replicated.Result, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	res, err := s.Submitter.Submit(ctx, cmd)
	if err == nil && res.Err != nil {
		err = res.Err
	}
	if err != nil {
		s.writeError(w, err)
		return res, false
	}
	return res, true
}
