package scheduling

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

const (
	// probeShare bounds the requests sent to slow servers while others have
	// room, as a share of all.
	probeShare = 0.004
	// minMove is the least expected rest of an answer, in tokens, for which
	// moving it off a slow server is worthwhile.
	minMove = 16
)

// probe returns the slow server to be measured by this request, if any. Without
// another server that has room the request loses little by the probe.
func (s *Scheduler) probe(kept []Candidate) *fleet.Server {
	slow := slices.IndexFunc(kept, func(c Candidate) bool { return isSlow(c) && c.Probe })
	if slow < 0 {
		return nil
	}
	others := slices.ContainsFunc(kept, func(c Candidate) bool { return !isSlow(c) })
	if others && float64(s.probes+1) > probeShare*float64(s.begun) {
		return nil
	}
	return kept[slow].Server
}

// Slow reports whether the run's server has become so slow that moving the rest
// of the answer to another server is worthwhile.
func (r *Run) Slow(now time.Time) bool {
	if r.ended || r.work.Output-float64(r.produced) < minMove {
		return false
	}
	s := r.sched
	t := s.totals(now, s.offering(&r.work))
	return r.server.speed.slowness(now, t.gapMedian, t.firstTime) >= slowThreshold
}
