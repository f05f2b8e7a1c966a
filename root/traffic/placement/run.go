package placement

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// Run is one request placed on a server.
type Run struct {
	state  *State
	server *server
	work   Work
	// tokens are the prompt tokens still to be read; units is the whole work.
	tokens, units float64
	choice        Choice
	reads         *reading
	placed        time.Time
	read, ended   bool
}

func (s *State) begin(now time.Time, w Work, c Candidate, candidates int) *Run {
	srv := s.byID[c.Server.ID]
	// The source is chosen before the server counts as holding the prompt.
	source := s.source(&w, srv)
	r := &Run{state: s, server: srv, placed: now, work: w, units: 1 + c.Missing/unitTokens}
	r.choice = Choice{
		Stage: w.Stage, Candidates: candidates, Running: c.Running, Queued: c.Queued, Missing: c.Missing,
		Slowness: c.Slowness, Reading: c.Reading, Home: c.Home, Source: source, Term: s.view.Term, Seq: s.view.Seq,
	}
	if at := srv.Load.ReportedAt; !at.IsZero() {
		r.choice.ReportAge = now.Sub(at)
	}
	if w.Stage != Decode && w.PromptTokens > 0 {
		r.tokens = c.Missing
		r.reads = s.reading(&w)
	}
	srv.own++
	srv.longs += r.longs()
	srv.ownTokens += r.tokens
	// What a decode engine fetches it keeps like what it read.
	srv.cache.add(w.Parts)
	return r
}

// longs is 1 for a long prompt that is read where the answer is made.
func (r *Run) longs() int {
	if r.work.Stage == Whole && r.work.PromptTokens > 0 && !r.work.isShort() {
		return 1
	}
	return 0
}

// source returns where the shared parts of a long prompt are copied from if the
// server lacks them: the engine that answers such prompts, which keeps what it
// fetched, and for that one itself the home. An engine that holds them copies
// nothing.
func (s *State) source(w *Work, srv *server) string {
	if w.Stage == Decode {
		return ""
	}
	from := s.keeper(w)
	if from == srv {
		from = s.home(w)
	}
	if from == nil {
		return ""
	}
	return from.Address
}

// Server returns the server as it was when the work was placed.
func (r *Run) Server() fleet.Server { return r.server.Server }

// Choice returns what the place was chosen by.
func (r *Run) Choice() Choice { return r.choice }

// Read notes that the prompt has been read.
func (r *Run) Read() {
	if r.read {
		return
	}
	r.read = true
	r.server.ownTokens -= r.tokens
	r.server.longs -= r.longs()
}

// learn notes the reading time. An end without a sign of the answer counts when
// it took longer than predicted already.
func (r *Run) learn(now time.Time, took time.Duration) {
	if r.reads == nil {
		return
	}
	if took == 0 {
		took = now.Sub(r.placed)
		if took < r.choice.Reading {
			return
		}
	}
	r.reads.observe(r.choice.Queued+r.choice.Missing, took)
}

// End takes the work off the server and learns from the result. Later calls do
// nothing.
func (r *Run) End(now time.Time, res Result) {
	if r.ended {
		return
	}
	r.ended = true
	r.Read()
	r.server.own--
	r.state.serveLine(now, r.server)
	r.learn(now, res.Took)
	if r.work.isShort() && res.Took > 0 {
		waited := r.placed.Sub(r.work.Arrived)
		r.state.split(r.work.Service).observe(r.work.Stage, waited+res.Took, r.work.Objective)
	}
	r.server.health.observe(now, res, r.units)
}
