package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

const (
	// domainWeight is the load for which a server of another failure domain is
	// preferred: a fifth of its slots.
	domainWeight = 0.2
	// keeperWeight is the load up to which a prompt is answered where others with
	// the same first part were: full, and as many waiting. An answer is short beside
	// the reading of a shared part.
	keeperWeight = 2.0
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
	// spillAfter is the reading time past which a prompt may leave its home: reading
	// the shared part again costs more than a shorter wait.
	spillAfter = time.Second
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
	// line is the work that waits for this server.
	line []*Waiting
	// longs counts this entry's long prompts that the server reads and answers.
	longs int
}

// SharedTokens is the prompt length from which the parts that prompts share are
// gathered at homes: a shorter prompt is read in less time than that takes.
const SharedTokens = 2000

// State holds one entry's decisions. Callers serialise access and pass the time.
type State struct {
	self, domain string
	// index is this entry's rank among the entries.
	index, entries int
	view           *view.View
	servers        []*server
	byID           map[string]*server
	filters        []Filter
	// scorers rank servers for whole requests and decoding, prompts for prefill.
	scorers, prompts []weighted
	picker           Picker
	// readings are learnt by service and stage.
	readings map[readingKey]*reading
	// splits are learnt by service.
	splits map[string]*split
	random *rand.Rand
}

// readingKey names the engines that read alike.
type readingKey struct {
	service string
	prefill bool
}

// NewState returns the state of the entry on a VM in a failure domain. Equal seeds
// make equal choices.
func NewState(self, domain string, seed uint64) *State {
	random := rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
	return &State{
		self:    self,
		domain:  domain,
		entries: 1,
		byID:    map[string]*server{},
		filters: []Filter{ServiceFilter{}, StageFilter{}, ExcludedFilter{}},
		scorers: []weighted{
			{LoadScorer{}, 1}, {ReadingScorer{}, 1}, {ErrorScorer{}, errorWeight}, {DomainScorer{}, domainWeight},
			{KeeperScorer{}, keeperWeight},
		},
		prompts: []weighted{{ReadingScorer{}, 1}, {ErrorScorer{}, errorWeight}},
		picker:  Least{Rand: random, Jitter: jitter},

		readings: map[readingKey]*reading{},
		splits:   map[string]*split{},
		random:   random,
	}
}

// SetView takes over the servers of a view and their load reports.
func (s *State) SetView(v *view.View) {
	if v == nil || v == s.view {
		return
	}
	s.view = v
	s.rank(v.VMs)
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
		known.dissolve()
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
			known.dissolve()
			fresh.own, fresh.ownTokens = known.own, known.ownTokens
		}
		known = fresh
		s.byID[next.ID] = known
	}
	if known.cache.limit != cacheTokens {
		known.cache = newCacheMemory(cacheTokens)
	}
	if !next.Load.ReportedAt.Equal(known.Load.ReportedAt) {
		known.ownAtReport, known.ownTokensAtReport = known.own, known.ownTokens+known.lineTokens()
	}
	known.Server = next
	if known.State != fleet.Active || known.Role != fleet.Prefill {
		known.dissolve()
	}
}

// hasStage reports whether an active engine of the service takes the stage.
func (s *State) hasStage(service string, stage Stage) bool {
	w := &Work{Service: service, Stage: stage}
	for _, srv := range s.servers {
		c := Candidate{Server: &srv.Server}
		if (ServiceFilter{}).Keep(w, &c) && (StageFilter{}).Keep(w, &c) {
			return true
		}
	}
	return false
}

// Place chooses a server. It either counts the work on it, and the run's End must
// follow, or puts it in line for it. An error says that the work has not run.
func (s *State) Place(now time.Time, w Work) (*Run, *Waiting, *fault.Error) {
	if s.view == nil || !s.view.InForce(now) {
		return nil, nil, fault.New(fault.NotReady, part, "no view of the control state").WithRetryAfter(absentRetry)
	}
	all := s.candidates(now, &w)
	if len(all) == 0 {
		return nil, nil, fault.New(fault.NoBackend, part, "no active server of %q", w.Service).WithRetryAfter(absentRetry)
	}
	if soonest := soonest(all); w.Patience > 0 && soonest > w.Patience {
		return nil, nil, errTooLong(soonest, w.Patience)
	}
	kept := slices.DeleteFunc(all, func(c Candidate) bool { return !(RoomFilter{}).Keep(&w, &c) })
	if len(kept) == 0 {
		return nil, nil, fault.New(fault.Overloaded, part, "every server of %q is full", w.Service).WithRetryAfter(busyRetry)
	}
	chosen := s.choose(&w, kept)
	if s.mustWait(&w, s.byID[chosen.Server.ID]) {
		return nil, s.enqueue(now, w, chosen, len(kept)), nil
	}
	return s.begin(now, w, chosen, len(kept)), nil, nil
}

// Own returns this entry's load on each server that it uses, in order of id.
func (s *State) Own() []fleet.OwnLoad {
	var out []fleet.OwnLoad
	for _, srv := range s.servers {
		if srv.own > 0 {
			tokens := int(srv.ownTokens + srv.lineTokens())
			out = append(out, fleet.OwnLoad{Server: srv.ID, Running: srv.own, Tokens: tokens})
		}
	}
	return out
}

// Entries returns the number of VMs in the view that take callers, at least 1.
func (s *State) Entries() int { return s.entries }
