package fleet

import "slices"

// claimAddress forgets a server that ended at the address where s started later.
// It reports false when s itself is the earlier one. A change of incarnation
// orders servers of different ids only where incarnations are start times.
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
		t.remove(id)
	}
	return true
}

// add takes a server that is not known.
func (t *Tracker) add(e *serverEntry) {
	id, address := e.server.ID, e.server.Address
	if t.servers[id] != nil {
		t.leaveAddress(t.servers[id].server)
	}
	t.servers[id] = e
	t.byAddress[address] = append(t.byAddress[address], id)
}

// remove forgets a server.
func (t *Tracker) remove(id string) {
	t.leaveAddress(t.servers[id].server)
	delete(t.servers, id)
}

func (t *Tracker) leaveAddress(s Server) {
	left := slices.DeleteFunc(t.byAddress[s.Address], func(id string) bool { return id == s.ID })
	if len(left) == 0 {
		delete(t.byAddress, s.Address)
		return
	}
	t.byAddress[s.Address] = left
}
