package fleet

import (
	"maps"
	"time"
)

// ObserveLoads replaces the loads that one VM puts on backend servers. Loads on
// unknown servers are ignored.
func (t *Tracker) ObserveLoads(vm string, loads []OwnLoad) {
	t.removeLoads(vm)
	for _, l := range loads {
		if e := t.servers[l.Server]; e != nil {
			e.loadsByVM[vm] = l
			t.loadedServers[vm] = append(t.loadedServers[vm], l.Server)
		}
	}
}

func (t *Tracker) removeLoads(vm string) {
	for _, id := range t.loadedServers[vm] {
		if e := t.servers[id]; e != nil {
			delete(e.loadsByVM, vm)
		}
	}
	delete(t.loadedServers, vm)
}

// ReportedLoad returns the load in the server's latest announcement and when that
// was received. It returns false before the first announcement.
func (t *Tracker) ReportedLoad(id string) (Load, time.Time, bool) {
	e := t.servers[id]
	if e == nil || e.seeded {
		return Load{}, time.Time{}, false
	}
	return e.server.Load, e.lastSeen, true
}

func (e *serverEntry) totalLoad() (running, tokens int) {
	for l := range maps.Values(e.loadsByVM) {
		running += l.Running
		tokens += l.Tokens
	}
	return running, tokens
}
