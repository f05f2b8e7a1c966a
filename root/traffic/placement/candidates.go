package placement

import (
	"slices"
	"time"
)

// choose returns the home of a prompt while that reads it soon, and otherwise the
// candidate with the least score.
func (s *State) choose(w *Work, kept []Candidate) Candidate {
	home := slices.IndexFunc(kept, func(c Candidate) bool { return c.Home })
	if home >= 0 && kept[home].Reading <= spillAfter {
		return kept[home]
	}
	scorers := s.scorers
	if w.Stage == Prefill {
		scorers = s.prompts
	}
	scores := make([]float64, len(kept))
	for i := range kept {
		for _, scorer := range scorers {
			scores[i] += scorer.weight * scorer.Score(w, &kept[i])
		}
	}
	return kept[s.picker.Pick(scores)]
}

// soonest returns the least predicted reading time.
func soonest(all []Candidate) time.Duration {
	least := all[0].Reading
	for _, c := range all {
		least = min(least, c.Reading)
	}
	return least
}

// candidates describes the servers that may take the work. Those that failed
// lately are left out while there are others.
func (s *State) candidates(now time.Time, w *Work) []Candidate {
	var all []Candidate
	typical := s.typical(w)
	home := s.home(w)
	keeper := s.keeper(w)
	reads := s.reading(w)
	for _, srv := range s.servers {
		c := Candidate{Server: &srv.Server}
		if !s.keeps(w, &c) {
			continue
		}
		c.Running = float64(srv.own) + max(0, float64(srv.Load.Running-srv.ownAtReport))
		c.Queued = srv.queued(now, reads)
		c.Home = srv == home
		c.Keeper = w.Stage == Decode && srv == keeper
		c.Missing = float64(srv.missing(w, home != nil && (c.Home || w.Stage == Whole)))
		if w.PromptTokens > 0 && w.Stage != Decode {
			c.Reading = reads.predict(c.Queued + c.Missing)
		}
		c.Near = srv.FailureDomain == s.domain
		c.Errors = max(0, srv.health.errors-typical.errors)
		c.Slowness = srv.health.slowness(typical.took)
		c.Avoided = srv.health.avoided(now)
		all = append(all, c)
	}
	if slices.ContainsFunc(all, func(c Candidate) bool { return !c.Avoided }) {
		all = slices.DeleteFunc(all, func(c Candidate) bool { return c.Avoided })
	}
	return all
}

// reading returns what is learnt of the engines that would read the prompt.
func (s *State) reading(w *Work) *reading {
	key := readingKey{w.Service, w.Stage == Prefill}
	r := s.readings[key]
	if r == nil {
		r = &reading{}
		s.readings[key] = r
	}
	return r
}

// queued estimates the tokens that wait on the server: this entry's own, and what
// is left of those that the other entries reported.
func (srv *server) queued(now time.Time, r *reading) float64 {
	peers := float64(srv.Load.Tokens) - srv.ownTokensAtReport
	if peers > 0 {
		peers -= r.read(now.Sub(srv.Load.ReportedAt) + reportLag)
	}
	return srv.ownTokens + srv.lineTokens() + max(0, peers)
}

func (s *State) keeps(w *Work, c *Candidate) bool {
	for _, f := range s.filters {
		if !f.Keep(w, c) {
			return false
		}
	}
	return true
}
