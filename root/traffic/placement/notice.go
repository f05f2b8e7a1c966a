package placement

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// Notice is what a server says in a response about further requests.
type Notice struct {
	// Leaving says that the server is shutting down.
	Leaving bool
	// RetryAfter is how long the server wants no further requests; 0 if it did not say.
	RetryAfter time.Duration
	// LimitPerSecond is the number of requests per second that the server takes from all
	// VMs together; 0 if it named none. NamesNoLimit says that a server without a limit
	// would have said so with this response.
	LimitPerSecond float64
	NamesNoLimit   bool
}

// noticeMemory is how long the notices of a server that is in no view are kept after
// the last one. A server that is shutting down may be missing from a view and return in
// the next.
const noticeMemory = 10 * time.Minute

// serverNotices sums up the notices of one incarnation of a server. Views neither
// change nor end them.
type serverNotices struct {
	incarnation uint64
	leaving     bool
	// heldUntil is the time before which the server wants no requests.
	heldUntil time.Time
	// updatedAt is when the last notice arrived.
	updatedAt time.Time
}

// Observe applies a notice from the head of the response to the request. It reports
// whether the notice says more than earlier ones of the server.
func (r *Run) Observe(now time.Time, n Notice) bool {
	r.server.lastResponse, r.responded = now, now
	limited := false
	if n.LimitPerSecond > 0 || n.NamesNoLimit {
		limited = r.state.observeLimit(now, r, n.LimitPerSecond)
	}
	return r.state.observeNotice(now, r.server, n) || limited
}

func (s *State) observeNotice(now time.Time, srv *server, n Notice) bool {
	if !n.Leaving && n.RetryAfter == 0 {
		return false
	}
	known := s.notices[srv.ID]
	if known == nil || known.incarnation < srv.Incarnation {
		s.forgetNotices(now)
		known = &serverNotices{incarnation: srv.Incarnation}
		s.notices[srv.ID] = known
	}
	if known.incarnation > srv.Incarnation {
		return false
	}
	before := *known
	known.leaving = known.leaving || n.Leaving
	if until := now.Add(n.RetryAfter); n.RetryAfter > 0 && until.After(known.heldUntil) {
		known.heldUntil = until
	}
	changed := *known != before
	known.updatedAt = now
	s.applyNotices(srv)
	srv.flushQueue()
	return changed
}

// noticesOf returns the notices that apply to the server's incarnation.
func (s *State) noticesOf(srv *server) serverNotices {
	if known := s.notices[srv.ID]; known != nil && known.incarnation >= srv.Incarnation {
		return *known
	}
	return serverNotices{}
}

// applyNotices makes a server draining that said that it is leaving, although the
// view shows it as active: the view may be older than the notice.
func (s *State) applyNotices(srv *server) {
	if s.noticesOf(srv).leaving && srv.State == fleet.Active {
		srv.State = fleet.Draining
	}
}

// heldFor returns how long the server wants no requests from this entry; 0 or less if it
// wants some.
func (s *State) heldFor(now time.Time, srv *server) time.Duration {
	held := s.noticesOf(srv).heldUntil.Sub(now)
	if l := s.limitOf(srv); l != nil {
		held = max(held, l.wait(now))
	}
	return held
}

// HeldFor returns the time until a server of the request's service and stage wants
// requests. It is 0 if one wants them now or if there are none. It does not depend on
// the servers that the request excludes or requires.
func (s *State) HeldFor(now time.Time, req Request) time.Duration {
	shortest := time.Duration(0)
	for _, srv := range s.servers {
		c := Candidate{Server: &srv.Server}
		if !(ServiceFilter{}).Keep(&req, &c) || !(StageFilter{}).Keep(&req, &c) {
			continue
		}
		held := s.heldFor(now, srv)
		if held <= 0 {
			return 0
		}
		if shortest == 0 || held < shortest {
			shortest = held
		}
	}
	return shortest
}

// errNoCandidate returns the error for a request that no server may take. Prefill is
// never refused as Overloaded here: another engine may run the whole request.
func (s *State) errNoCandidate(now time.Time, req Request) *fault.Error {
	if held := s.HeldFor(now, req); held > 0 && req.Stage != Prefill {
		return fault.New(fault.Overloaded, part, "every server of service %q asked for a pause or for fewer requests", req.Service).WithRetryAfter(held)
	}
	return fault.New(fault.NoBackend, part, "service %q has no active server for this request", req.Service).WithRetryAfter(noBackendRetry)
}

// forgetNotices removes old notices of servers that are unknown or have restarted, so
// that those of servers that are gone do not accumulate.
func (s *State) forgetNotices(now time.Time) {
	for id, n := range s.notices {
		srv := s.byID[id]
		inUse := srv != nil && srv.Incarnation <= n.incarnation
		if !inUse && now.Sub(n.updatedAt) > noticeMemory && now.After(n.heldUntil) {
			delete(s.notices, id)
		}
	}
}
