package placement

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// Notice is what a server says in a response about further requests.
type Notice struct {
	// Leaving says that the server is shutting down.
	Leaving bool
}

// noticeMemory is how long the notices of a server that is in no view are kept. A
// server that is shutting down may be missing from a view and return in the next.
const noticeMemory = 10 * time.Minute

// serverNotices sums up the notices of one incarnation of a server. Views neither
// change nor end them.
type serverNotices struct {
	incarnation uint64
	leaving     bool
	// updatedAt is when the last notice arrived.
	updatedAt time.Time
}

// Observe applies a notice from the response to the request.
func (r *Run) Observe(now time.Time, n Notice) { r.state.observeNotice(now, r.server, n) }

func (s *State) observeNotice(now time.Time, srv *server, n Notice) {
	if n == (Notice{}) {
		return
	}
	known := s.notices[srv.ID]
	if known == nil || known.incarnation < srv.Incarnation {
		s.forgetNotices(now)
		known = &serverNotices{incarnation: srv.Incarnation}
		s.notices[srv.ID] = known
	}
	if known.incarnation > srv.Incarnation {
		return
	}
	known.updatedAt = now
	known.leaving = known.leaving || n.Leaving
	s.applyNotices(srv)
	srv.flushQueue()
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

// forgetNotices removes old notices of servers that are unknown or have restarted.
func (s *State) forgetNotices(now time.Time) {
	for id, n := range s.notices {
		srv := s.byID[id]
		inUse := srv != nil && srv.Incarnation <= n.incarnation
		if !inUse && now.Sub(n.updatedAt) > noticeMemory {
			delete(s.notices, id)
		}
	}
}
