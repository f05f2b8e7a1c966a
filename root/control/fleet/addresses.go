package fleet

import "slices"

// claimAddress removes the servers that s replaced at its address, which are the
// ones that started earlier. It returns false if another server started there
// after s. Unnumbered announcements are exempt: their incarnations need not be
// start times, so they can't be compared between servers.
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

// addServer adds a server or replaces its entry.
func (t *Tracker) addServer(e *serverEntry) {
	id, address := e.server.ID, e.server.Address
	if t.servers[id] != nil {
		t.removeFromAddress(t.servers[id].server)
	}
	t.servers[id] = e
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
