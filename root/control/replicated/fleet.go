package replicated

import (
	"maps"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// Fleet returns the backend servers as last recorded, by id. The map must not be
// changed.
func (s *State) Fleet() map[string]fleet.Server { return s.fleet }

// MayRecord reports whether the server's id is within its bounds.
func MayRecord(server fleet.Server) bool {
	return server.ID != "" && len(server.ID) <= authority.MaxIDBytes
}

func (c RecordFleet) apply(s *State, _ int64) Result {
	next := maps.Clone(s.fleet)
	for _, id := range c.Removed {
		delete(next, id)
	}
	for _, server := range c.Servers {
		if !MayRecord(server) {
			return Result{Err: fault.New(fault.Invalid, part, "an id has 1 to %d bytes", authority.MaxIDBytes)}
		}
		server.Load = fleet.Load{}
		next[server.ID] = server
	}
	if len(next) > authority.MaxServers {
		return Result{Err: fault.New(fault.Overloaded, part, "%d backend servers, the bound is %d", len(next), authority.MaxServers)}
	}
	s.fleet = next
	return Result{}
}
