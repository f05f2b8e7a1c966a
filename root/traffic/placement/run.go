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
	ended         bool
}

func (s *State) begin(now time.Time, w Work, c Candidate, candidates int) *Run {
	srv := s.byID[c.Server.ID]
	r := &Run{state: s, server: srv, placed: now, work: w, units: 1 + c.Missing/unitTokens}
	r.choice = Choice{w.Stage, candidates, c.Running, c.Queued, c.Missing, c.Slowness, c.Reading, c.Home}
	if w.Stage != Decode && w.PromptTokens > 0 {
		r.tokens = c.Missing
		r.reads = s.reading(&w)
	}
	srv.own++
	srv.ownTokens += r.tokens
	// What a decode engine fetches it keeps like what it read.
	srv.cache.add(w.Parts)
	return r
}

// Server returns the server as it was when the work was placed.
func (r *Run) Server() fleet.Server { return r.server.Server }

// Read notes that the prompt has been read.
func (r *Run) Read() {
	r.server.ownTokens -= r.tokens
	r.tokens = 0
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
