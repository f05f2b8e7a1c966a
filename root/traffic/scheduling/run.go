package scheduling

import (
	"math"
	"time"
)

// Run is one request placed on a server.
type Run struct {
	sched  *Scheduler
	server *server
	work   Work
	// outstanding is the estimated work left, in tokens.
	outstanding float64
	produced    int
	overlap     float64
	granted     time.Time
	lastToken   time.Time
	ended       bool
}

// Begin counts the work on the server; End must follow. It returns nil for an
// unknown server.
func (s *Scheduler) Begin(now time.Time, w Work, serverID string) *Run {
	srv := s.byID[serverID]
	if srv == nil {
		return nil
	}
	r := &Run{sched: s, server: srv, work: w, granted: now}
	r.overlap = srv.prefixes.overlap(w.Prefix)
	r.outstanding = float64(w.PromptTokens) + w.Output
	srv.own++
	srv.begun++
	srv.ownTokens += r.outstanding
	srv.prefixes.add(w.Prefix)
	if srv.speed.probeWait > 0 || srv.speed.probeDue(now) {
		srv.speed.probed(now)
	}
	if w.Long {
		srv.ownLong++
	} else {
		s.lastShort = now
	}
	return r
}

// Tokens counts n output tokens observed now and learns the server's speed.
func (r *Run) Tokens(now time.Time, n int) {
	if r.ended || n <= 0 {
		return
	}
	r.learn(now, n)
	r.produced += n
	r.progress(float64(n))
	if !r.work.Long && r.produced > longOutput {
		r.work.Long = true
		r.server.ownLong++
	}
}

func (r *Run) learn(now time.Time, n int) {
	sp := &r.server.speed
	fleet := r.sched.pace(r.work.Target)
	if r.lastToken.IsZero() {
		unit := now.Sub(r.granted).Seconds() / firstUnits(r.work.PromptTokens, r.overlap)
		sp.first.observe(unit, speedWeight)
		fleet.first.observe(unit, fleetWeight)
		sp.streams++
	} else {
		gap := now.Sub(r.lastToken).Seconds() / float64(n)
		sp.gap.observe(gap, speedWeight)
		fleet.gap.observe(gap, fleetWeight)
	}
	r.lastToken = now
	sp.lastToken = now
}

// learnStall keeps what an unfinished request showed of a stalled server.
func (r *Run) learnStall(now time.Time) {
	sp := &r.server.speed
	if r.lastToken.IsZero() {
		unit := now.Sub(r.granted).Seconds() / firstUnits(r.work.PromptTokens, r.overlap)
		if unit > sp.first.value {
			sp.first.observe(unit, speedWeight)
		}
		return
	}
	if gap := now.Sub(r.lastToken).Seconds() / stallDiscount; gap > sp.gap.value {
		sp.gap.observe(gap, speedWeight)
	}
}

// progress lowers the outstanding work; the first token also ends the prefill.
func (r *Run) progress(n float64) {
	if r.produced == int(n) {
		n += float64(r.work.PromptTokens)
	}
	done := math.Min(n, r.outstanding)
	r.outstanding -= done
	r.server.ownTokens -= done
}

// Produced returns the output tokens observed so far.
func (r *Run) Produced() int { return r.produced }

// Cost returns the work done, in output-token equivalents.
func (r *Run) Cost() float64 {
	return Cost(r.work.PromptTokens, float64(r.produced))
}

// End takes the work off the server. whole says that the answer is complete,
// so that its length counts for the estimates. Later calls do nothing.
func (r *Run) End(now time.Time, whole bool) {
	if r.ended {
		return
	}
	r.ended = true
	srv := r.server
	if !whole {
		r.learnStall(now)
	}
	srv.own--
	srv.ownTokens -= r.outstanding
	if r.work.Long {
		srv.ownLong--
	}
	if !r.lastToken.IsZero() {
		srv.speed.streams--
	}
	r.learnLength(whole)
}

func (r *Run) learnLength(whole bool) {
	lengths := r.sched.lengths
	if !whole {
		lengths.ObserveCut(r.work.Class, r.work.Caller, r.produced)
		return
	}
	if r.produced > 0 {
		lengths.Observe(r.work.Class, r.work.Caller, r.produced)
	}
}

func (s *Scheduler) pace(target string) *pace {
	p := s.paces[target]
	if p == nil {
		p = &pace{}
		s.paces[target] = p
	}
	return p
}
