package scheduling

import (
	"math"
	"time"
)

// Run is one request placed on a server.
type Run struct {
	sched   *Scheduler
	server  *server
	request Request
	// outstanding estimates the prompt and output tokens left.
	outstanding float64
	produced    int
	// overlap is the prefix overlap when the request began.
	overlap   float64
	begunAt   time.Time
	lastToken time.Time
	ended     bool
}

// Begin adds the request to the server's load until End is called. It returns nil
// if the server is unknown.
func (s *Scheduler) Begin(now time.Time, req Request, serverID string) *Run {
	srv := s.byID[serverID]
	if srv == nil {
		return nil
	}
	r := &Run{sched: s, server: srv, request: req, begunAt: now}
	r.overlap = srv.prefixCache.overlap(req.Prefix)
	r.outstanding = float64(req.PromptTokens) + req.OutputTokens
	srv.ownRunning++
	srv.begun++
	srv.ownTokens += r.outstanding
	srv.prefixCache.add(req.Prefix)
	s.begun++
	// Pick sets probeBackoff to 0 and nextProbe to a later time for every candidate
	// that is not slow, so the condition holds only for slow servers: if a probe is
	// due, or if there has been one since the server became slow.
	if srv.speed.probeBackoff > 0 || srv.speed.probeDue(now) {
		s.probes++
		srv.speed.delayProbe(now)
	}
	if req.Long {
		srv.ownLongRunning++
	} else {
		s.reserve.add(now, 1)
	}
	return r
}

// ObserveTokens records n output tokens received now and updates the latency
// models. A request that has produced as much as a long one counts as long from
// then on.
func (r *Run) ObserveTokens(now time.Time, n int) {
	if r.ended || n <= 0 {
		return
	}
	r.observeLatency(now, n)
	r.produced += n
	r.reduceOutstanding(float64(n))
	if !r.request.Long && r.sched.lengths.IsLong(float64(r.produced)) {
		r.request.Long = true
		r.server.ownLongRunning++
		r.sched.reserve.add(now, -1)
	}
}

func (r *Run) observeLatency(now time.Time, n int) {
	sp := &r.server.speed
	overall := r.sched.latencyModel(r.request.Target)
	if r.lastToken.IsZero() {
		waited, units := now.Sub(r.begunAt).Seconds(), r.units()
		sp.firstToken.observe(waited, units, serverSmoothing)
		overall.firstToken.observe(waited, units, overallSmoothing)
		sp.streams++
	} else {
		interToken := now.Sub(r.lastToken).Seconds() / float64(n)
		sp.interToken.observe(interToken, serverSmoothing)
		overall.interToken.observe(interToken, overallSmoothing)
	}
	r.lastToken = now
	sp.lastToken = now
}

// units returns the work up to the first token, in output-token equivalents.
func (r *Run) units() float64 { return firstTokenUnits(r.request.PromptTokens, r.overlap) }

// observeStall records how long a request that did not complete has waited for its
// next token, or for the first one since Begin, if that shows the server to be slower
// than its average.
func (r *Run) observeStall(now time.Time) {
	sp := &r.server.speed
	if r.lastToken.IsZero() {
		if waited := now.Sub(r.begunAt).Seconds(); waited > sp.firstToken.value()*r.units() {
			sp.firstToken.observe(waited, r.units(), serverSmoothing)
		}
		return
	}
	if interToken := now.Sub(r.lastToken).Seconds() / stallDiscount; interToken > sp.interToken.value {
		sp.interToken.observe(interToken, serverSmoothing)
	}
}

// reduceOutstanding subtracts n output tokens from the outstanding tokens, and the
// prompt tokens as well if they are the first output.
func (r *Run) reduceOutstanding(n float64) {
	if r.produced == int(n) {
		n += float64(r.request.PromptTokens)
	}
	done := math.Min(n, r.outstanding)
	r.outstanding -= done
	r.server.ownTokens -= done
}

// Produced returns the number of output tokens received so far.
func (r *Run) Produced() int { return r.produced }

// Cost returns the work done, in output-token equivalents.
func (r *Run) Cost() float64 {
	return Cost(r.request.PromptTokens, float64(r.produced))
}

// End removes the request from the server's load. complete says that the response
// is complete, so that its length is a sample for the estimates. Later calls do
// nothing.
func (r *Run) End(now time.Time, complete bool) {
	if r.ended {
		return
	}
	r.ended = true
	srv := r.server
	if !complete {
		r.observeStall(now)
	}
	srv.ownRunning--
	srv.ownTokens -= r.outstanding
	if r.request.Long {
		srv.ownLongRunning--
	} else {
		r.sched.reserve.add(now, -1)
	}
	if !r.lastToken.IsZero() {
		srv.speed.streams--
	}
	r.observeLength(complete)
}

func (r *Run) observeLength(complete bool) {
	lengths := r.sched.lengths
	if r.request.Stage == Prefill {
		return
	}
	if !complete {
		lengths.ObserveTruncated(r.request.Class, r.request.Caller, r.produced)
		return
	}
	if r.produced > 0 {
		lengths.Observe(r.request.Class, r.request.Caller, r.produced)
		lengths.typicalCost.observe(r.Cost())
	}
}

func (s *Scheduler) latencyModel(target string) *latencyModel {
	m := s.latencyModels[target]
	if m == nil {
		m = &latencyModel{}
		s.latencyModels[target] = m
	}
	return m
}
