package fleet

import (
	"maps"
	"time"
)

// HearLoads replaces one VM's own loads on all backend servers.
func (t *Tracker) HearLoads(vm string, loads []OwnLoad) {
	t.dropLoads(vm)
	for _, l := range loads {
		if e := t.servers[l.Server]; e != nil {
			e.running[vm] = l
			t.loaded[vm] = append(t.loaded[vm], l.Server)
		}
	}
}

func (t *Tracker) dropLoads(vm string) {
	for _, id := range t.loaded[vm] {
		if e := t.servers[id]; e != nil {
			delete(e.running, vm)
		}
	}
	delete(t.loaded, vm)
}

// Reported returns the server's own latest load report and when it was heard.
func (t *Tracker) Reported(id string) (Load, time.Time, bool) {
	e := t.servers[id]
	if e == nil || e.seeded {
		return Load{}, time.Time{}, false
	}
	return e.server.Load, e.lastHeard, true
}

func (e *serverEntry) ownLoads() (running, tokens int) {
	for l := range maps.Values(e.running) {
		running += l.Running
		tokens += l.Tokens
	}
	return running, tokens
}
