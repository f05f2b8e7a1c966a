package placement

import (
	"slices"
	"time"
)

// choose returns the prefill home of the prompt if it is among the candidates with
// a predicted prefill time of at most spilloverTime, and otherwise the picker's
// choice among the scored candidates.
func (s *State) choose(req *Request, kept []Candidate) Candidate {
	home := slices.IndexFunc(kept, func(c Candidate) bool { return c.PrefillHome })
	if home >= 0 && kept[home].PrefillTime <= spilloverTime {
		return kept[home]
	}
	scorers := s.scorers
	if req.Stage == Prefill {
		scorers = s.prefillScorers
	}
	scores := make([]float64, len(kept))
	for i := range kept {
		for _, scorer := range scorers {
			scores[i] += scorer.weight * scorer.Score(req, &kept[i])
		}
	}
	return kept[s.picker.Pick(scores)]
}

// minPrefillTime returns the shortest predicted prefill time.
func minPrefillTime(all []Candidate) time.Duration {
	least := all[0].PrefillTime
	for _, c := range all {
		least = min(least, c.PrefillTime)
	}
	return least
}

// candidates describes the servers that may take the request. Servers that asked for
// a pause are left out; those in back-off are too unless all servers are in back-off.
func (s *State) candidates(now time.Time, req *Request) []Candidate {
	var all []Candidate
	medians := s.healthMedians(req)
	prefillHome := s.prefillHome(req)
	decodeHome := s.decodeHome(req)
	model := s.prefillModel(req)
	for _, srv := range s.servers {
		c := Candidate{Server: &srv.Server}
		if !s.passesFilters(req, &c) || s.heldFor(now, srv) > 0 {
			continue
		}
		c.Running = float64(srv.ownRunning) + max(0, float64(srv.Load.Running-srv.ownRunningAtReport))
		c.QueuedTokens = srv.queuedTokens(now, model)
		c.PrefillHome = srv == prefillHome
		c.DecodeHome = req.Stage == Decode && srv == decodeHome
		c.UncachedTokens = float64(srv.uncachedTokens(req, prefillHome != nil && (c.PrefillHome || req.Stage == Whole)))
		if req.PromptTokens > 0 && req.Stage != Decode {
			c.PrefillTime = model.predict(c.QueuedTokens + c.UncachedTokens)
		}
		c.SameDomain = srv.FailureDomain == s.domain
		c.ExcessErrorRate = max(0, srv.health.errorRate-medians.errorRate)
		c.Slowness = srv.health.slowness(medians.latency)
		c.BackingOff = srv.health.backingOff(now)
		all = append(all, c)
	}
	if slices.ContainsFunc(all, func(c Candidate) bool { return !c.BackingOff }) {
		all = slices.DeleteFunc(all, func(c Candidate) bool { return c.BackingOff })
	}
	return all
}

// prefillModel returns the prefill-time model of the engines that may prefill the
// prompt.
func (s *State) prefillModel(req *Request) *prefillModel {
	key := prefillModelKey{req.Service, req.Stage == Prefill}
	m := s.prefillModels[key]
	if m == nil {
		m = &prefillModel{}
		s.prefillModels[key] = m
	}
	return m
}

// queuedTokens estimates the prompt tokens that are still to be prefilled on the
// server: those of this entry, its queue for the server included, and what remains
// of those that the other entries reported.
func (srv *server) queuedTokens(now time.Time, m *prefillModel) float64 {
	otherTokens := float64(srv.Load.Tokens) - srv.ownTokensAtReport
	if otherTokens > 0 {
		otherTokens -= m.tokensIn(now.Sub(srv.Load.AnnouncedAt) + reportLag)
	}
	return srv.ownTokens + srv.ownQueuedTokens() + max(0, otherTokens)
}

func (s *State) passesFilters(req *Request, c *Candidate) bool {
	for _, f := range s.filters {
		if !f.Keep(req, c) {
			return false
		}
	}
	return true
}
