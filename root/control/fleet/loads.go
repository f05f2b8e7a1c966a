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
		if tracked := t.servers[l.Server]; tracked != nil {
			tracked.loadsByVM[vm] = l
			t.loadedServers[vm] = append(t.loadedServers[vm], l.Server)
		}
	}
}

func (t *Tracker) removeLoads(vm string) {
	for _, id := range t.loadedServers[vm] {
		if tracked := t.servers[id]; tracked != nil {
			delete(tracked.loadsByVM, vm)
		}
	}
	delete(t.loadedServers, vm)
}

// AnnouncedLoad returns the load in the server's latest announcement and when that
// was received. It returns false before the first announcement.
func (t *Tracker) AnnouncedLoad(id string) (Load, time.Time, bool) {
	tracked := t.servers[id]
	if tracked == nil || tracked.seeded {
		return Load{}, time.Time{}, false
	}
	return tracked.server.Load, tracked.lastSeen, true
}

func (tracked *trackedServer) totalLoad() (running, tokens int) {
	for l := range maps.Values(tracked.loadsByVM) {
		running += l.Running
		tokens += l.Tokens
	}
	return running, tokens
}
