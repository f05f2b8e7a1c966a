package scheduling

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// shortMemory is how long room is kept for short work after the last of it.
const shortMemory = 30 * time.Second

// weighted is a scorer with its weight in the sum.
type weighted struct {
	Scorer
	weight float64
}

// Scheduler chooses servers for one entry. Callers serialise access.
type Scheduler struct {
	entries int
	servers []*server
	byID    map[string]*server
	filters []Filter
	scorers []weighted
	picker  Picker
	lengths *Lengths
	// paces holds the observed speed over all servers, by target.
	paces     map[string]*pace
	lastShort time.Time
	scratch   candidates
}

// New returns a scheduler for one of the given number of entries. Equal seeds
// make equal choices.
func New(entries int, seed uint64) *Scheduler {
	random := rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
	return &Scheduler{
		entries: max(1, entries),
		byID:    map[string]*server{},
		filters: []Filter{
			TargetFilter{}, StateFilter{}, RoleFilter{}, ExcludedFilter{},
			SlowFilter{}, SlotFilter{},
		},
		scorers: []weighted{
			{LoadScorer{}, 1}, {PrefixScorer{}, 1}, {SpeedScorer{}, 0.5},
			{CacheScorer{}, 0.3}, {DomainScorer{}, 0.2},
		},
		picker:  TwoChoices{Rand: random},
		lengths: NewLengths(),
		paces:   map[string]*pace{},
	}
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
		if !(TargetFilter{}).Keep(w, &c) {
			continue
		}
		known = true
		if (StateFilter{}).Keep(w, &c) && (RoleFilter{}).Keep(w, &c) && (ExcludedFilter{}).Keep(w, &c) {
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
	if probe := slices.IndexFunc(kept, isSlow); probe >= 0 {
		return *kept[probe].Server, true
	}
	scores := make([]float64, len(kept))
	for i := range kept {
		scores[i] = s.score(w, &kept[i])
	}
	return *kept[s.picker.Pick(kept, scores)].Server, true
}

func (s *Scheduler) keep(now time.Time, w *Work) []Candidate {
	all := s.candidates(now, w)
	return slices.DeleteFunc(all, func(c Candidate) bool { return !s.passes(w, &c) })
}

func (s *Scheduler) passes(w *Work, c *Candidate) bool {
	for _, f := range s.filters {
		if !f.Keep(w, c) {
			return false
		}
	}
	return true
}

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
