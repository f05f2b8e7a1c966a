package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

const (
	// domainWeight is the load for which a server of another failure domain is
	// preferred: a tenth of its slots.
	domainWeight = 0.1
	// errorWeight makes a server that always fails worse than a full one.
	errorWeight = 2.0
	// jitter spreads choices between servers of about equal load.
	jitter = 0.04
	// busyRetry is the suggested wait when every server is full: a request or two
	// of each server.
	busyRetry = 300 * time.Millisecond
	// absentRetry is the suggested wait when no server may take the work: about a
	// heartbeat of a server that starts.
	absentRetry = 700 * time.Millisecond
	// unitTokens is the prompt that counts as much as the fixed work of a request.
	unitTokens = 500
)

// server is a backend server with this entry's own counts and observations.
type server struct {
	fleet.Server
	own       int
	ownTokens float64
	// atReport are the own counts when the present load report arrived.
	ownAtReport       int
	ownTokensAtReport float64
	cache             *cacheMemory
	health            health
}

// State holds one entry's decisions. Callers serialise access and pass the time.
type State struct {
	domain  string
	view    *view.View
	servers []*server
	byID    map[string]*server
	filters []Filter
	// scorers rank servers for whole requests and decoding, prompts for prefill.
	scorers, prompts []weighted
	picker           Picker
}

// NewState returns the state of an entry in a failure domain. Equal seeds make
// equal choices.
func NewState(domain string, seed uint64) *State {
	random := rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
	return &State{
		domain:  domain,
		byID:    map[string]*server{},
		filters: []Filter{ServiceFilter{}, StageFilter{}, ExcludedFilter{}},
		scorers: []weighted{
			{LoadScorer{}, 1}, {PromptScorer{}, 1}, {ErrorScorer{}, errorWeight}, {DomainScorer{}, domainWeight},
		},
		prompts: []weighted{{PromptScorer{}, 1}, {ErrorScorer{}, errorWeight}},
		picker:  Least{Rand: random, Jitter: jitter},
	}
}

// SetView takes over the servers of a view and their load reports.
func (s *State) SetView(v *view.View) {
	if v == nil || v == s.view {
		return
	}
	s.view = v
	seen := make(map[string]bool, len(v.Servers))
	for _, next := range v.Servers {
		seen[next.ID] = true
		s.update(next, cacheTokens(v.Routes, next))
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

// cacheTokens returns the size of an engine's KV cache; 0 when unknown.
func cacheTokens(d *routes.Document, s fleet.Server) int {
	if d == nil || len(s.Targets) == 0 {
		return 0
	}
	service, ok := d.Service(s.Targets[0])
	if !ok || service.Engine == nil {
		return 0
	}
	return service.Engine.CacheTokens
}

func (s *State) update(next fleet.Server, cacheTokens int) {
	known := s.byID[next.ID]
	if known == nil || known.Incarnation != next.Incarnation {
		fresh := &server{cache: newCacheMemory(cacheTokens)}
		if known != nil {
			fresh.own, fresh.ownTokens = known.own, known.ownTokens
		}
		known = fresh
		s.byID[next.ID] = known
	}
	if known.cache.limit != cacheTokens {
		known.cache = newCacheMemory(cacheTokens)
	}
	if !next.Load.ReportedAt.Equal(known.Load.ReportedAt) {
		known.ownAtReport, known.ownTokensAtReport = known.own, known.ownTokens
	}
	known.Server = next
}

// HasStage reports whether an active engine of the service takes the stage.
func (s *State) HasStage(service string, stage Stage) bool {
	w := &Work{Service: service, Stage: stage}
	for _, srv := range s.servers {
		c := Candidate{Server: &srv.Server}
		if (ServiceFilter{}).Keep(w, &c) && (StageFilter{}).Keep(w, &c) {
			return true
		}
	}
	return false
}

// Place chooses a server and counts the work on it; the run's End must follow.
// An error says that the work has not run.
func (s *State) Place(now time.Time, w Work) (*Run, *fault.Error) {
	if s.view == nil || !s.view.InForce(now) {
		return nil, fault.New(fault.NotReady, part, "no view of the control state").WithRetryAfter(absentRetry)
	}
	all := s.candidates(now, &w)
	if len(all) == 0 {
		return nil, fault.New(fault.NoBackend, part, "no active server of %q", w.Service).WithRetryAfter(absentRetry)
	}
	kept := slices.DeleteFunc(all, func(c Candidate) bool { return !(RoomFilter{}).Keep(&w, &c) })
	if len(kept) == 0 {
		return nil, fault.New(fault.Overloaded, part, "every server of %q is full", w.Service).WithRetryAfter(busyRetry)
	}
	scorers := s.scorers
	if w.Stage == Prefill {
		scorers = s.prompts
	}
	scores := make([]float64, len(kept))
	for i := range kept {
		for _, scorer := range scorers {
			scores[i] += scorer.weight * scorer.Score(&w, &kept[i])
		}
	}
	chosen := kept[s.picker.Pick(scores)]
	return s.begin(w, chosen, len(kept)), nil
}

// candidates describes the servers that may take the work. Those that failed
// lately are left out while there are others.
func (s *State) candidates(now time.Time, w *Work) []Candidate {
	var all []Candidate
	typical := s.typical(w)
	home := s.home(w)
	for _, srv := range s.servers {
		c := Candidate{Server: &srv.Server}
		if !s.keeps(w, &c) {
			continue
		}
		c.Running = float64(srv.own) + max(0, float64(srv.Load.Running-srv.ownAtReport))
		c.Queued = srv.ownTokens
		c.Missing = float64(srv.missing(w, srv == home))
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

func (s *State) keeps(w *Work, c *Candidate) bool {
	for _, f := range s.filters {
		if !f.Keep(w, c) {
			return false
		}
	}
	return true
}

// missing returns the prompt tokens that the server's cache likely lacks. The
// home of a prompt is taken to hold what other requests share: every entry
// sends them there.
func (srv *server) missing(w *Work, home bool) int {
	if w.PromptTokens == 0 {
		return 0
	}
	if home && len(w.Parts) > 1 {
		return w.Parts[len(w.Parts)-1].Tokens
	}
	return srv.cache.missing(w.Parts, w.PromptTokens)
}

// home returns the engine at which entries gather prompts with the same first
// part, by rendezvous hashing; nil for work without shared parts.
func (s *State) home(w *Work) *server {
	if w.Stage != Prefill || len(w.Parts) < 2 {
		return nil
	}
	var best *server
	var bestScore uint64
	for _, srv := range s.servers {
		c := Candidate{Server: &srv.Server}
		if !(ServiceFilter{}).Keep(w, &c) || !(StageFilter{}).Keep(w, &c) {
			continue
		}
		if score := rendezvous(w.Parts[0].Hash, srv.ID); best == nil || score > bestScore {
			best, bestScore = srv, score
		}
	}
	return best
}

func rendezvous(key uint64, server string) uint64 {
	h := xxhash.NewWithSeed(key)
	// Writes to a hash don't fail.
	_, _ = h.WriteString(server)
	return h.Sum64()
}

// typicalHealth is the middle of what is observed of a service's servers.
type typicalHealth struct{ errors, took float64 }

func (s *State) typical(w *Work) typicalHealth {
	var errors, took []float64
	for _, srv := range s.servers {
		c := Candidate{Server: &srv.Server}
		if !(ServiceFilter{}).Keep(w, &c) || !(StageFilter{}).Keep(w, &c) {
			continue
		}
		errors = append(errors, srv.health.errors)
		if srv.health.times >= minTimes {
			took = append(took, srv.health.took)
		}
	}
	return typicalHealth{lowMedian(errors), lowMedian(took)}
}

func lowMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// Own returns this entry's load on each server that it uses, in order of id.
func (s *State) Own() []fleet.OwnLoad {
	var out []fleet.OwnLoad
	for _, srv := range s.servers {
		if srv.own > 0 {
			out = append(out, fleet.OwnLoad{Server: srv.ID, Running: srv.own, Tokens: int(srv.ownTokens)})
		}
	}
	return out
}

// Entries returns the number of VMs in the view that take callers, at least 1.
func (s *State) Entries() int {
	n := 0
	if s.view != nil {
		for _, vm := range s.view.VMs {
			if vm.Address != "" {
				n++
			}
		}
	}
	return max(1, n)
}
