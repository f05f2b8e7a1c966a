package placement

import "github.com/wagtaildyke/wagtaildyke/root/control/fleet"

// Standing says what has become of the server of a run since it was placed.
type Standing uint8

// The standings of a server.
const (
	// Known servers have neither left nor been replaced as far as this entry knows.
	Known Standing = iota
	// Departed servers said that they are draining or shutting down.
	Departed
	// Replaced servers have restarted, or another server has their address, although they
	// did not say that they leave.
	Replaced
)

// Standing returns the standing of the run's server. A server that is missing from the view
// counts as departed only if the view, or the server, said so before: a new leader's first
// complete view may lack one that has ended.
func (r *Run) Standing() Standing {
	state := r.server.State
	if r.server.removed {
		state = r.server.lastListed
	}
	current := r.state.byID[r.placedOn.ID]
	restarted := current != nil && current.Incarnation > r.placedOn.Incarnation
	switch {
	case state == fleet.Draining || state == fleet.Leaving:
		return Departed
	case restarted || r.server.removed && r.state.hasReplaced(r.placedOn):
		return Replaced
	default:
		return Known
	}
}

// hasReplaced reports whether another server has the address of a server.
func (s *State) hasReplaced(old fleet.Server) bool {
	for _, srv := range s.servers {
		if srv.ID != old.ID && srv.Address == old.Address && !srv.Departing() {
			return true
		}
	}
	return false
}

// Standing returns the standing of the leased server. It may be called after End.
func (l *Lease) Standing() Standing {
	l.placer.mu.Lock()
	defer l.placer.mu.Unlock()
	return l.run.Standing()
}

// Silent reports whether no response of the server has begun since the request was placed or
// since its own response began.
func (l *Lease) Silent() bool {
	l.placer.mu.Lock()
	defer l.placer.mu.Unlock()
	last := l.run.server.lastResponse
	return !last.After(l.run.placed) || last.Equal(l.run.responded)
}
