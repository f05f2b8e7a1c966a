package fleet

import "slices"

// replaceAtAddress removes the other servers at the address of s, whose processes
// must have ended if s runs there now. It stops and returns false at one with a
// higher incarnation, which means that s ended before; s must then be ignored.
//
// Servers can be compared in this way only if their incarnations are start times.
// Announcements with a sequence number have such incarnations and unnumbered ones
// may not, so numbered and unnumbered servers don't replace each other.
func (t *Tracker) replaceAtAddress(s Server) bool {
	if s.Address == "" || s.Sequence == 0 {
		return true
	}
	for _, id := range slices.Clone(t.byAddress[s.Address]) {
		if id == s.ID || t.servers[id].server.Sequence == 0 {
			continue
		}
		if t.servers[id].server.Incarnation > s.Incarnation {
			return false
		}
		t.removeServer(id)
	}
	return true
}

// addServer adds a server or replaces the one with its id.
func (t *Tracker) addServer(tracked *trackedServer) {
	id, address := tracked.server.ID, tracked.server.Address
	if t.servers[id] != nil {
		t.removeFromAddress(t.servers[id].server)
	}
	t.servers[id] = tracked
	t.byAddress[address] = append(t.byAddress[address], id)
}

// removeServer removes a known server.
func (t *Tracker) removeServer(id string) {
	t.removeFromAddress(t.servers[id].server)
	delete(t.servers, id)
}

func (t *Tracker) removeFromAddress(s Server) {
	remaining := slices.DeleteFunc(t.byAddress[s.Address], func(id string) bool { return id == s.ID })
	if len(remaining) == 0 {
		delete(t.byAddress, s.Address)
		return
	}
	t.byAddress[s.Address] = remaining
}
