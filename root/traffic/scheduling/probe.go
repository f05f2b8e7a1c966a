package scheduling

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

const (
	// probeShare is the share of all requests up to which slow servers are probed
	// while others have free slots. Every request begun on a slow server counts as a
	// probe, for whatever reason it was begun there; see Begin.
	probeShare = 0.004
	// minMoveTokens is the expected number of output tokens left from which moving a
	// response off a slow server is worthwhile.
	minMoveTokens = 16
)

// serverToProbe returns the slow server that the request probes, or nil. If only
// slow servers have free slots, probeShare doesn't apply: the request then loses
// little by the probe.
func (s *Scheduler) serverToProbe(kept []Candidate) *fleet.Server {
	slow := slices.IndexFunc(kept, func(c Candidate) bool { return isSlow(c) && c.ProbeDue })
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
// of the response to another server is worthwhile.
func (r *Run) Slow(now time.Time) bool {
	if r.ended || r.request.OutputTokens-float64(r.produced) < minMoveTokens {
		return false
	}
	s := r.sched
	t := s.totals(now, s.eligibleServers(&r.request))
	return r.server.speed.slowness(now, t.interTokenMedian, t.firstTokenMedian) >= slowThreshold
}
