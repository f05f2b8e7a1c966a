package placement

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// Run is one request placed on a server.
type Run struct {
	state  *State
	server *server
	// placedOn is the server as it was when the request was placed. Later views change
	// server.
	placedOn fleet.Server
	request  Request
	// prefillTokens are the prompt tokens to prefill. units is the request's work: 1
	// for its fixed part and 1 per tokensPerUnit uncached prompt tokens.
	prefillTokens, units float64
	decision             Decision
	model                *prefillModel
	placed               time.Time
	// responded is when the head of the response arrived.
	responded        time.Time
	prefilled, ended bool
}

func (s *State) begin(now time.Time, req Request, c Candidate, candidateCount int) *Run {
	srv := s.byID[c.Server.ID]
	copyFrom := s.copyFrom(&req, srv)
	r := &Run{state: s, server: srv, placedOn: srv.Server, placed: now, request: req, units: 1 + c.UncachedTokens/tokensPerUnit}
	r.decision = Decision{
		Stage: req.Stage, Candidates: candidateCount, Running: c.Running, QueuedTokens: c.QueuedTokens, UncachedTokens: c.UncachedTokens,
		Slowness: c.Slowness, PrefillTime: c.PrefillTime, PrefillHome: c.PrefillHome, CopyFrom: copyFrom, ViewTerm: s.view.Term, ViewSeq: s.view.Seq,
	}
	if at := srv.Load.AnnouncedAt; !at.IsZero() {
		r.decision.ReportAge = now.Sub(at)
	}
	if req.Stage != Decode && req.PromptTokens > 0 {
		r.prefillTokens = c.UncachedTokens
		r.model = s.prefillModel(&req)
	}
	srv.ownRunning++
	srv.longPrefills += r.longPrefillCount()
	srv.ownTokens += r.prefillTokens
	// A decode engine also caches the segments that it copies from another engine.
	srv.cache.add(req.Segments)
	return r
}

// longPrefillCount returns what the request adds to server.longPrefills: 1 if the
// server both prefills its long prompt and decodes the response, and 0 otherwise.
func (r *Run) longPrefillCount() int {
	if r.request.Stage == Whole && r.request.PromptTokens > 0 && !r.request.isShort() {
		return 1
	}
	return 0
}

// copyFrom returns the base URL of the engine from which the server may copy the
// shared segments of a long prompt that its KV cache lacks: the decode home, or the
// prefill home if the server is the decode home itself. It is empty for decoding and
// if there is no such engine.
func (s *State) copyFrom(req *Request, srv *server) string {
	if req.Stage == Decode {
		return ""
	}
	from := s.decodeHome(req)
	if from == srv {
		from = s.prefillHome(req)
	}
	if from == nil {
		return ""
	}
	return from.Address
}

// Server returns the server as it was when the request was placed.
func (r *Run) Server() fleet.Server { return r.placedOn }

// Decision returns what the placement was based on.
func (r *Run) Decision() Decision { return r.decision }

// MarkPrefilled records that the prompt is prefilled. Later calls do nothing.
func (r *Run) MarkPrefilled() {
	if r.prefilled {
		return
	}
	r.prefilled = true
	r.server.ownTokens -= r.prefillTokens
	r.server.longPrefills -= r.longPrefillCount()
}

// observePrefill adds the prefill time to the model. A request that ended without
// output counts only if it had already exceeded the prediction.
func (r *Run) observePrefill(now time.Time, prefillTime time.Duration) {
	if r.model == nil {
		return
	}
	if prefillTime == 0 {
		prefillTime = now.Sub(r.placed)
		if prefillTime < r.decision.PrefillTime {
			return
		}
	}
	r.model.observe(r.decision.QueuedTokens+r.decision.UncachedTokens, prefillTime)
}

// End removes the request from the server's load and updates the models and the
// server's health with the result. Later calls do nothing.
func (r *Run) End(now time.Time, res Result) {
	if r.ended {
		return
	}
	r.ended = true
	r.MarkPrefilled()
	r.server.ownRunning--
	r.state.serveQueue(now, r.server)
	r.observePrefill(now, res.TimeToFirstOutput)
	if r.request.isShort() && res.TimeToFirstOutput > 0 {
		waited := r.placed.Sub(r.request.Arrived)
		r.state.split(r.request.Service).observe(r.request.Stage, waited+res.TimeToFirstOutput, r.request.Objective)
	}
	r.server.health.observe(now, res, r.units)
}
