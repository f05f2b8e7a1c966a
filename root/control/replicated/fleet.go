package replicated

import (
	"maps"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// Fleet returns the backend servers as last recorded, by id. The map must not be
// modified.
func (s *State) Fleet() map[string]fleet.Server { return s.fleet }

// HasValidID reports whether the server's id has a length that RecordFleet accepts.
func HasValidID(server fleet.Server) bool {
	return server.ID != "" && len(server.ID) <= authority.MaxIDBytes
}

func (c RecordFleet) apply(s *State, _ int64) Result {
	next := maps.Clone(s.fleet)
	for _, id := range c.Removed {
		delete(next, id)
	}
	for _, server := range c.Servers {
		if !HasValidID(server) {
			return Result{Err: fault.New(fault.Invalid, part, "backend server id must have 1 to %d bytes", authority.MaxIDBytes)}
		}
		server.Load = fleet.Load{}
		next[server.ID] = server
	}
	if len(next) > authority.MaxServers {
		return Result{Err: fault.New(fault.Overloaded, part, "%d backend servers exceed the limit of %d", len(next), authority.MaxServers)}
	}
	s.fleet = next
	return Result{}
}
