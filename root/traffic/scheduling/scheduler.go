package scheduling

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// weightedScorer is a scorer with its weight in the sum.
type weightedScorer struct {
	Scorer
	weight float64
}

// Scheduler chooses servers for the requests of one entry. It is not safe for
// concurrent use.
type Scheduler struct {
	// rank is this entry's position among the entries, from 0; entries is their number.
	rank, entries int
	servers       []*server
	byID          map[string]*server
	// eligibility selects the servers over which shares of slots are computed,
	// availability those of them that may take a request now.
	eligibility, availability []Filter
	scorers                   []weightedScorer
	picker                    Picker
	lengths                   *LengthEstimator
	// latencyModels holds the latency over all servers, by target.
	latencyModels map[string]*latencyModel
	reserve       shortReserve
	// begun counts all requests, probes those begun on a slow server; see Begin.
	begun, probes int
	scratch       scratchBuffers
}

// New returns a scheduler for one of the given number of entries. Its rank depends
// on the seed until SetEntries is called. Schedulers with equal seeds make the same
// random choices.
func New(entries int, seed uint64) *Scheduler {
	random := rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
	return &Scheduler{
		rank:         int(seed % uint64(max(1, entries))),
		entries:      max(1, entries),
		byID:         map[string]*server{},
		eligibility:  []Filter{TargetFilter{}, StateFilter{}, StageFilter{}},
		availability: []Filter{ExcludedFilter{}, SlowFilter{}, SlotFilter{}},
		scorers: []weightedScorer{
			{LoadScorer{}, 1}, {PrefixScorer{}, 1},
			{CacheScorer{}, 0.3}, {DomainScorer{}, 0.2},
		},
		picker:        TwoChoices{Rand: random},
		lengths:       NewLengthEstimator(),
		latencyModels: map[string]*latencyModel{},
	}
}

// SetEntries sets this entry's rank among the entries, from 0, and their number.
// The shares of entries with different ranks add up to each server's slots.
func (s *Scheduler) SetEntries(rank, entries int) {
	s.rank, s.entries = rank, max(1, entries)
}

// SetServers applies the announced servers and their load reports.
func (s *Scheduler) SetServers(announced []fleet.Server) {
	seen := make(map[string]bool, len(announced))
	for _, next := range announced {
		seen[next.ID] = true
		known := s.byID[next.ID]
		if known == nil {
			known = &server{}
			s.byID[next.ID] = known
		}
		known.update(next)
	}
	for id, known := range s.byID {
		if seen[id] {
			continue
		}
		known.State = fleet.Leaving
		if known.ownRunning == 0 {
			delete(s.byID, id)
		}
	}
	s.servers = s.servers[:0]
	for _, known := range s.byID {
		s.servers = append(s.servers, known)
	}
	slices.SortFunc(s.servers, func(a, b *server) int { return strings.Compare(a.ID, b.ID) })
}

// Offers reports whether any known server offers the target, and whether an
// active one may take the request once it has a free slot.
func (s *Scheduler) Offers(req *Request) (known, active bool) {
	for _, srv := range s.servers {
		c := Candidate{Server: &srv.Server}
		known = known || (TargetFilter{}).Keep(req, &c)
		if s.isEligible(req, &c) && (ExcludedFilter{}).Keep(req, &c) {
			return true, true
		}
	}
	return known, false
}

// Pick returns the server for the request, or false if none may take it now. It
// adds no load; Begin does.
func (s *Scheduler) Pick(now time.Time, req *Request) (fleet.Server, bool) {
	kept := s.available(now, req)
	if len(kept) == 0 {
		return fleet.Server{}, false
	}
	if probe := s.serverToProbe(kept); probe != nil {
		return *probe, true
	}
	if slices.ContainsFunc(kept, func(c Candidate) bool { return !isSlow(c) }) {
		kept = slices.DeleteFunc(kept, isSlow)
	}
	kept = keepBestTier(req, kept)
	scores := make([]float64, len(kept))
	for i := range kept {
		scores[i] = s.score(req, &kept[i])
	}
	return *kept[s.picker.Pick(kept, scores)].Server, true
}

// available returns the candidates that may take the request now.
func (s *Scheduler) available(now time.Time, req *Request) []Candidate {
	all := s.candidates(now, req)
	anyFast := slices.ContainsFunc(all, func(c Candidate) bool {
		return !isSlow(c) && (ExcludedFilter{}).Keep(req, &c)
	})
	return slices.DeleteFunc(all, func(c Candidate) bool {
		c.OnlySlow = !anyFast
		return !passesFilters(s.availability, req, &c)
	})
}

// isEligible reports whether the server is active, offers the target and has a role
// that covers the stage. It may still be excluded, slow or full.
func (s *Scheduler) isEligible(req *Request, c *Candidate) bool {
	return passesFilters(s.eligibility, req, c)
}

func passesFilters(filters []Filter, req *Request, c *Candidate) bool {
	for _, f := range filters {
		if !f.Keep(req, c) {
			return false
		}
	}
	return true
}

// score returns the weighted sum of a candidate's scores; lower is better.
func (s *Scheduler) score(req *Request, c *Candidate) float64 {
	sum := 0.0
	for _, scorer := range s.scorers {
		sum += scorer.weight * scorer.Score(req, c)
	}
	return sum
}

// Lengths returns the estimator of response lengths.
func (s *Scheduler) Lengths() *LengthEstimator { return s.lengths }

// Predict returns the expected time to run a whole request from Begin on; 0 without
// samples for the target.
func (s *Scheduler) Predict(target string, promptTokens int, output float64) time.Duration {
	m := s.latencyModels[target]
	if m == nil {
		return 0
	}
	return m.predict(promptTokens, output)
}

// OwnLoad is this entry's own load on one server.
type OwnLoad struct {
	Server string
	// Running counts requests, Tokens their estimated outstanding tokens.
	Running, Tokens int
}

// OwnLoads returns this entry's load on each server that it uses, ordered by
// server id.
func (s *Scheduler) OwnLoads() []OwnLoad {
	var out []OwnLoad
	for _, srv := range s.servers {
		if srv.ownRunning > 0 {
			out = append(out, OwnLoad{Server: srv.ID, Running: srv.ownRunning, Tokens: int(srv.ownTokens)})
		}
	}
	return out
}

// HedgeAfter returns the wait for the first token after which a second attempt on
// another server is worthwhile; 0 without enough samples.
func (s *Scheduler) HedgeAfter(req *Request) time.Duration {
	m := s.latencyModels[req.Target]
	if m == nil {
		return 0
	}
	return m.hedgeAfter(req.PromptTokens)
}
