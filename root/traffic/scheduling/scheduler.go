package scheduling

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// weighted is a scorer with its weight in the sum.
type weighted struct {
	Scorer
	weight float64
}

// Scheduler chooses servers for one entry. Callers serialise access.
type Scheduler struct {
	// index is this entry's rank among the entries.
	index, entries int
	servers        []*server
	byID           map[string]*server
	// offered say which servers the parts of slots are computed over, filters
	// which of them may take a request now.
	offered, filters []Filter
	scorers          []weighted
	picker           Picker
	lengths          *Lengths
	// paces holds the observed speed over all servers, by target.
	paces map[string]*pace
	room  room
	// begun counts requests, probes those sent to find out about slow servers.
	begun, probes int
	scratch       candidates
}

// New returns a scheduler for one of the given number of entries. Equal seeds
// make equal choices.
func New(entries int, seed uint64) *Scheduler {
	random := rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
	return &Scheduler{
		index:   int(seed % uint64(max(1, entries))),
		entries: max(1, entries),
		byID:    map[string]*server{},
		offered: []Filter{TargetFilter{}, StateFilter{}, RoleFilter{}},
		filters: []Filter{ExcludedFilter{}, SlowFilter{}, SlotFilter{}},
		scorers: []weighted{
			{LoadScorer{}, 1}, {PrefixScorer{}, 1},
			{CacheScorer{}, 0.3}, {DomainScorer{}, 0.2},
		},
		picker:  TwoChoices{Rand: random},
		lengths: NewLengths(),
		paces:   map[string]*pace{},
	}
}

// SetEntries sets this entry's rank among the entries, from 0, and their
// number. Entries with different ranks have parts of each server's slots that
// add up to the whole.
func (s *Scheduler) SetEntries(index, entries int) {
	s.index, s.entries = index, max(1, entries)
}

// SetServers takes over the announced servers and their load reports.
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
		if known.own == 0 {
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
// active one may take the work once it has room.
func (s *Scheduler) Offers(w *Work) (known, active bool) {
	for _, srv := range s.servers {
		c := Candidate{Server: &srv.Server}
		known = known || (TargetFilter{}).Keep(w, &c)
		if s.offers(w, &c) && (ExcludedFilter{}).Keep(w, &c) {
			return true, true
		}
	}
	return known, false
}

// Pick returns the server for the work, or false when none has room. It
// reserves nothing.
func (s *Scheduler) Pick(now time.Time, w *Work) (fleet.Server, bool) {
	kept := s.keep(now, w)
	if len(kept) == 0 {
		return fleet.Server{}, false
	}
	if probe := s.probe(kept); probe != nil {
		return *probe, true
	}
	if slices.ContainsFunc(kept, func(c Candidate) bool { return !isSlow(c) }) {
		kept = slices.DeleteFunc(kept, isSlow)
	}
	kept = preferSure(w, kept)
	scores := make([]float64, len(kept))
	for i := range kept {
		scores[i] = s.score(w, &kept[i])
	}
	return *kept[s.picker.Pick(kept, scores)].Server, true
}

// keep returns the candidates that pass every filter.
func (s *Scheduler) keep(now time.Time, w *Work) []Candidate {
	all := s.candidates(now, w)
	fast := slices.ContainsFunc(all, func(c Candidate) bool {
		return !isSlow(c) && (ExcludedFilter{}).Keep(w, &c)
	})
	return slices.DeleteFunc(all, func(c Candidate) bool {
		c.OnlySlow = !fast
		return !passes(s.filters, w, &c)
	})
}

// offers reports whether the server may take such work, room aside.
func (s *Scheduler) offers(w *Work, c *Candidate) bool { return passes(s.offered, w, c) }

func passes(filters []Filter, w *Work, c *Candidate) bool {
	for _, f := range filters {
		if !f.Keep(w, c) {
			return false
		}
	}
	return true
}

// score adds up the weighted scores of a candidate; lower is better.
func (s *Scheduler) score(w *Work, c *Candidate) float64 {
	sum := 0.0
	for _, scorer := range s.scorers {
		sum += scorer.weight * scorer.Score(w, c)
	}
	return sum
}

// Lengths returns the output-length estimates.
func (s *Scheduler) Lengths() *Lengths { return s.lengths }

// Predict returns the expected time to run a whole request once it is granted;
// 0 before any observation of the target.
func (s *Scheduler) Predict(target string, promptTokens int, output float64) time.Duration {
	p := s.paces[target]
	if p == nil {
		return 0
	}
	return p.predict(promptTokens, output)
}

// ServerLoad is this entry's own load on one server.
type ServerLoad struct {
	ID string
	// Running counts requests, Tokens their estimated outstanding tokens.
	Running, Tokens int
}

// Own returns this entry's load on each server that it uses, in order of id.
func (s *Scheduler) Own() []ServerLoad {
	var out []ServerLoad
	for _, srv := range s.servers {
		if srv.own > 0 {
			out = append(out, ServerLoad{ID: srv.ID, Running: srv.own, Tokens: int(srv.ownTokens)})
		}
	}
	return out
}

// HedgeAfter returns the wait for the first token past which a second attempt
// on another server is worthwhile; 0 when unknown.
func (s *Scheduler) HedgeAfter(w *Work) time.Duration {
	p := s.paces[w.Target]
	if p == nil {
		return 0
	}
	return p.hedgeAfter(w.PromptTokens)
}
