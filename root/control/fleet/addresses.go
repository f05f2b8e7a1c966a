package fleet

import "slices"

// claimAddress removes the other servers at the address of s that didn't start
// after s. It stops and returns false at one that did; s must then be ignored.
// Incarnations can be compared between servers only if they are start times. Those
// of unnumbered announcements need not be, so an unnumbered s replaces none. A
// numbered s is compared with unnumbered servers as well.
func (t *Tracker) claimAddress(s Server) bool {
	if s.Address == "" || s.Sequence == 0 {
		return true
	}
	for _, id := range slices.Clone(t.byAddress[s.Address]) {
		if id == s.ID {
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
