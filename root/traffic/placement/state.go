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
	// domainWeight is the share of its slots by which a server of another failure
	// domain must be less loaded to be preferred.
	domainWeight = 0.2
	// decodeHomeWeight is about the load score of an engine whose slots and queue are
	// full, so a prompt leaves its decode home only when that is nearly full or slow.
	// Decoding is short compared with prefilling a shared segment, which the KV cache
	// of the decode home can save.
	decodeHomeWeight = 2.0
	// errorWeight makes a server that always fails score worse than a full one.
	errorWeight = 2.0
	// scoreJitter spreads choices over servers of about equal load.
	scoreJitter = 0.04
	// overloadedRetry is the suggested wait when every server is full: about the time
	// in which each server finishes one or two requests.
	overloadedRetry = 300 * time.Millisecond
	// noBackendRetry is the suggested wait when no server may take the request or
	// there is no valid view: about the time until the first heartbeat of a starting
	// server.
	noBackendRetry = 700 * time.Millisecond
	// spilloverTime is the predicted prefill time above which a prompt may leave its
	// prefill home. For shorter waits, prefilling the shared segments elsewhere would
	// cost more.
	spilloverTime = time.Second
	// tokensPerUnit is the number of prompt tokens that take as much work as the
	// fixed part of a request.
	tokensPerUnit = 500
)

// server is a backend server with this entry's own load and observations.
type server struct {
	fleet.Server
	// ownRunning counts this entry's requests on the server, ownTokens their prompt
	// tokens still to be prefilled.
	ownRunning int
	ownTokens  float64
	// ownRunningAtReport and ownTokensAtReport are this entry's load when the current
	// load report arrived.
	ownRunningAtReport int
	ownTokensAtReport  float64
	cache              *prefixCache
	health             health
	// queue holds this entry's requests that wait for the server.
	queue []*QueuedRequest
	// longPrefills counts this entry's whole requests with a long prompt that the
	// server has not prefilled yet.
	longPrefills int
	// lastResponse is when the head of a response last arrived.
	lastResponse time.Time
	// removed is set if the view no longer lists the server, and lastListed is its state
	// when it last did.
	removed    bool
	lastListed fleet.State
}

// LongPromptTokens is the prompt length from which a request is disaggregated as a
// rule, and from which prompts with the same first segment share a prefill home and
// a decode home. A shorter prompt is prefilled in less time than it takes to send the
// request to a prefill engine first and transfer the KV cache; see split.
const LongPromptTokens = 2000

// State holds the placement state of one entry. It does no I/O and reads no clock;
// methods that need the time take it as a parameter. It is not safe for concurrent
// use.
type State struct {
	self, domain string
	// rank is this entry's position among the entries by VM id, from 0; entries is
	// their number.
	rank, entries int
	view          *view.View
	servers       []*server
	byID          map[string]*server
	// notices holds what servers said about further requests, by server id.
	notices map[string]*serverNotices
	// limits holds the limits that servers have named, by server id.
	limits  map[string]*serverLimit
	filters []Filter
	// scorers rank servers for whole requests and decoding, prefillScorers for
	// prefill.
	scorers, prefillScorers []weightedScorer
	picker                  Picker
	// prefillModels has two models for a service: one for its prefill engines and one
	// for the others.
	prefillModels map[prefillModelKey]*prefillModel
	// splits holds the splits by service, added on first use.
	splits map[string]*split
	random *rand.Rand
}

// prefillModelKey identifies a group of engines with similar prefill times.
type prefillModelKey struct {
	service string
	prefill bool
}

// NewState returns the state of the entry on VM self in a failure domain. States
// with equal seeds make the same random choices.
func NewState(self, domain string, seed uint64) *State {
	random := rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
	return &State{
		self:    self,
		domain:  domain,
		entries: 1,
		byID:    map[string]*server{},
		notices: map[string]*serverNotices{},
		limits:  map[string]*serverLimit{},
		filters: []Filter{ServiceFilter{}, StageFilter{}, ExcludedFilter{}},
		scorers: []weightedScorer{
			{LoadScorer{}, 1}, {PrefillTimeScorer{}, 1}, {ErrorScorer{}, errorWeight}, {DomainScorer{}, domainWeight},
			{DecodeHomeScorer{}, decodeHomeWeight},
		},
		prefillScorers: []weightedScorer{{PrefillTimeScorer{}, 1}, {ErrorScorer{}, errorWeight}},
		picker:         LowestScore{Rand: random, Jitter: scoreJitter},

		prefillModels: map[prefillModelKey]*prefillModel{},
		splits:        map[string]*split{},
		random:        random,
	}
}

// SetView applies the servers of a view and their load reports.
func (s *State) SetView(v *view.View) {
	if v == nil || v == s.view {
		return
	}
	s.view = v
	s.updateRank(v.VMs)
	seen := make(map[string]bool, len(v.Servers))
	for _, next := range v.Servers {
		seen[next.ID] = true
		s.update(next, configuredCacheTokens(v.Routes, next))
	}
	for id, known := range s.byID {
		if seen[id] {
			continue
		}
		if !known.removed {
			known.removed, known.lastListed = true, known.State
		}
		known.State = fleet.Leaving
		known.flushQueue()
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

// configuredCacheTokens returns the size of the engine's KV cache from the routes,
// in tokens; 0 if not configured.
func configuredCacheTokens(d *routes.Document, s fleet.Server) int {
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
		if known != nil {
			known.flushQueue()
		}
		// A restarted server has none of the requests that were sent to it before. Their
		// runs keep the old entry and release their load there.
		known = &server{cache: newPrefixCache(cacheTokens)}
		s.byID[next.ID] = known
	}
	if known.cache.limit != cacheTokens {
		known.cache = newPrefixCache(cacheTokens)
	}
	if !next.Load.AnnouncedAt.Equal(known.Load.AnnouncedAt) {
		known.ownRunningAtReport, known.ownTokensAtReport = known.ownRunning, known.ownTokens+known.ownQueuedTokens()
	}
	known.Server, known.removed = next, false
	s.applyNotices(known)
	if known.State != fleet.Active || known.Role != fleet.Prefill {
		known.flushQueue()
	}
}

// hasStage reports whether the service has an active engine whose role covers the
// stage and that wants requests.
func (s *State) hasStage(now time.Time, service string, stage Stage) bool {
	req := &Request{Service: service, Stage: stage}
	for _, srv := range s.servers {
		c := Candidate{Server: &srv.Server}
		if (ServiceFilter{}).Keep(req, &c) && (StageFilter{}).Keep(req, &c) && s.heldFor(now, srv) <= 0 {
			return true
		}
	}
	return false
}

// Place chooses a server. It returns either a run, which adds the request to the
// server's load until End is called, or a queued request. An error means that the
// request has not run.
func (s *State) Place(now time.Time, req Request) (*Run, *QueuedRequest, *fault.Error) {
	if s.view == nil || !s.view.Valid(now) {
		return nil, nil, fault.New(fault.NotReady, part, "no valid view of the control state").WithRetryAfter(noBackendRetry)
	}
	s.countDemand(&req)
	all := s.candidates(now, &req)
	if len(all) == 0 {
		return nil, nil, s.errNoCandidate(now, req)
	}
	if prefillTime := minPrefillTime(all); req.FirstOutputTimeout > 0 && prefillTime > req.FirstOutputTimeout {
		return nil, nil, errPrefillTooSlow(prefillTime, req.FirstOutputTimeout)
	}
	kept := slices.DeleteFunc(all, func(c Candidate) bool { return !(CapacityFilter{}).Keep(&req, &c) })
	if len(kept) == 0 {
		return nil, nil, fault.New(fault.Overloaded, part, "every server of service %q is full", req.Service).WithRetryAfter(overloadedRetry)
	}
	chosen := s.choose(&req, kept)
	s.takeToken(now, s.byID[chosen.Server.ID])
	if s.mustQueue(&req, s.byID[chosen.Server.ID]) {
		return nil, s.enqueue(now, req, chosen, len(kept)), nil
	}
	return s.begin(now, req, chosen, len(kept)), nil, nil
}

// OwnLoads returns this entry's load on each server that it uses, ordered by
// server id. Its tokens are the prompt tokens still to be prefilled, those of queued
// requests included.
func (s *State) OwnLoads() []fleet.OwnLoad {
	var out []fleet.OwnLoad
	for _, srv := range s.servers {
		if srv.ownRunning > 0 {
			tokens := int(srv.ownTokens + srv.ownQueuedTokens())
			out = append(out, fleet.OwnLoad{Server: srv.ID, Running: srv.ownRunning, Tokens: tokens})
		}
	}
	return out
}

// Entries returns the number of VMs with an entry in the view, at least 1. VMs in
// any state count.
func (s *State) Entries() int { return s.entries }
