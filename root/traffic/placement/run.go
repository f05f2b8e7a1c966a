package placement

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// Run is one request placed on a server.
type Run struct {
	server *server
	work   Work
	// tokens are the prompt tokens still to be read; units is the whole work.
	tokens, units float64
	choice        Choice
	ended         bool
}

func (s *State) begin(w Work, c Candidate, candidates int) *Run {
	srv := s.byID[c.Server.ID]
	r := &Run{server: srv, work: w, units: 1 + c.Missing/unitTokens}
	r.choice = Choice{w.Stage, candidates, c.Running, c.Queued, c.Missing, c.Slowness}
	if w.Stage != Decode {
		r.tokens = c.Missing
	}
	srv.own++
	srv.ownTokens += r.tokens
	if w.Stage != Decode {
		srv.cache.add(w.Parts)
	}
	return r
}

// Server returns the server as it was when the work was placed.
func (r *Run) Server() fleet.Server { return r.server.Server }

// Read notes that the prompt has been read.
func (r *Run) Read() {
	r.server.ownTokens -= r.tokens
	r.tokens = 0
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
	r.server.health.observe(now, res, r.units)
}
