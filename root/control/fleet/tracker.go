package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Timing holds the timeouts of failure detection.
type Timing struct {
	// SuspectAfter is the silence after which a member is suspected.
	SuspectAfter time.Duration
	// RemoveAfter is the silence after which a member is removed.
	RemoveAfter time.Duration
	// VMSuspectAfter replaces SuspectAfter for VMs unless it is 0.
	VMSuspectAfter time.Duration
}

// vmSuspectAfter returns the silence after which a VM is suspected.
func (t Timing) vmSuspectAfter() time.Duration {
	if t.VMSuspectAfter > 0 {
		return t.VMSuspectAfter
	}
	return t.SuspectAfter
}

// Tracker holds the leader's soft state about VMs and backend servers. A new
// leader rebuilds it from the VMs' reports.
type Tracker struct {
	timing  Timing
	servers map[string]*trackedServer
	vms     map[string]*trackedVM
	// byAddress maps an address to the ids of the servers there.
	byAddress map[string][]string
	// loadedServers maps a VM to the ids of the servers that it reported loads on.
	loadedServers map[string][]string
}

type trackedServer struct {
	server   Server
	lastSeen time.Time
	// loadsByVM holds the load that each VM puts on the server.
	loadsByVM map[string]OwnLoad
	// seeded is set on a server added by Seed until its first announcement arrives.
	seeded bool
}

type trackedVM struct {
	vm       VM
	lastSeen time.Time
}

// NewTracker returns an empty tracker.
func NewTracker(timing Timing) *Tracker {
	return &Tracker{
		timing:        timing,
		servers:       map[string]*trackedServer{},
		vms:           map[string]*trackedVM{},
		byAddress:     map[string][]string{},
		loadedServers: map[string][]string{},
	}
}

// Seed adds the members of an earlier view (see package view) as if they had
// announced themselves now, so that silent active ones are suspected after the
// usual timeout. Each member keeps the state that it had in the view until it
// announces itself. In particular, a draining member may have asked for the drain
// itself, and then must not receive new requests.
func (t *Tracker) Seed(servers []Server, vms []VM, now time.Time) {
	for _, s := range servers {
		t.addServer(&trackedServer{server: s, lastSeen: now, loadsByVM: map[string]OwnLoad{}, seeded: true})
	}
	for _, vm := range vms {
		t.vms[vm.ID] = &trackedVM{vm: vm, lastSeen: now}
	}
}

// SeedDepartures adds servers that are known to be draining or to have left to the members
// that Seed has added.
func (t *Tracker) SeedDepartures(servers []Server, now time.Time) {
	for _, s := range servers {
		tracked := t.servers[s.ID]
		if tracked != nil && !s.Supersedes(tracked.server) {
			continue
		}
		if tracked != nil {
			s = s.withDetailsFrom(tracked.server)
		}
		t.Seed([]Server{s}, nil, now)
	}
}

// ObserveServer records an announcement received at the given time. It reports
// whether the server is new or a field that SameRegistration compares changed. It
// ignores announcements of an earlier incarnation, outdated ones of the current
// incarnation, and those of a server that another one has replaced at its address.
// Servers that s replaces at its address are removed without being reported.
func (t *Tracker) ObserveServer(s Server, receivedAt time.Time) bool {
	if !t.replaceAtAddress(s) {
		return false
	}
	tracked := t.servers[s.ID]
	if tracked == nil {
		t.addServer(&trackedServer{server: s, lastSeen: receivedAt, loadsByVM: map[string]OwnLoad{}})
		return true
	}
	if s.Incarnation < tracked.server.Incarnation {
		return false
	}
	if s.Incarnation == tracked.server.Incarnation && !tracked.isNewer(s, receivedAt) {
		return false
	}
	s = s.withDetailsFrom(tracked.server)
	changed := !s.SameRegistration(tracked.server)
	if s.Address != tracked.server.Address {
		t.removeFromAddress(tracked.server)
		t.byAddress[s.Address] = append(t.byAddress[s.Address], s.ID)
	}
	tracked.server = s
	tracked.lastSeen = receivedAt
	tracked.seeded = false
	return changed
}

// withDetailsFrom returns s or, if s is a leave relayed by a process that didn't
// know the server, the known server with the state of the leave.
func (s Server) withDetailsFrom(known Server) Server {
	if s.State != Leaving || s.Address != "" {
		return s
	}
	known.Incarnation, known.State, known.Sequence = s.Incarnation, s.State, s.Sequence
	return known
}

// isNewer reports whether an announcement of the current incarnation replaces the
// recorded one. Leaving is final for an incarnation.
func (tracked *trackedServer) isNewer(s Server, receivedAt time.Time) bool {
	if tracked.server.State == Leaving {
		return false
	}
	if s.Sequence > 0 {
		return s.Sequence > tracked.server.Sequence || s.Sequence == tracked.server.Sequence && tracked.seeded
	}
	return s.State == Leaving || tracked.seeded || receivedAt.After(tracked.lastSeen)
}

// SameRegistration reports whether two announcements agree on id, incarnation,
// address, failure domain, state, kind, role, slots, targets and the size of the KV
// cache. It doesn't compare the load and the sequence number.
func (a Server) SameRegistration(b Server) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Address == b.Address && a.State == b.State &&
		a.Kind == b.Kind && a.Role == b.Role && a.CacheTokens == b.CacheTokens && a.Slots == b.Slots && slices.Equal(a.Targets, b.Targets) &&
		a.FailureDomain == b.FailureDomain
}

// ObserveVM records a heartbeat of a VM and reports whether the VM is new or its
// state, address or incarnation changed. Heartbeats of an earlier incarnation are
// ignored.
func (t *Tracker) ObserveVM(vm VM, receivedAt time.Time) bool {
	tracked := t.vms[vm.ID]
	if tracked == nil {
		t.vms[vm.ID] = &trackedVM{vm: vm, lastSeen: receivedAt}
		return true
	}
	if vm.Incarnation < tracked.vm.Incarnation {
		return false
	}
	changed := tracked.vm.State != vm.State || tracked.vm.Address != vm.Address || tracked.vm.Incarnation != vm.Incarnation
	tracked.vm = vm
	tracked.lastSeen = receivedAt
	return changed
}

// RemoveVM removes a VM and the loads that it reported.
func (t *Tracker) RemoveVM(vm string) {
	delete(t.vms, vm)
	t.removeLoads(vm)
}

// Expire suspects active members and removes members that have been silent for
// too long, and reports whether anything changed.
func (t *Tracker) Expire(now time.Time) bool {
	changed := false
	for id, tracked := range t.servers {
		switch silence := now.Sub(tracked.lastSeen); {
		case silence >= t.timing.RemoveAfter:
			t.removeServer(id)
			changed = true
		case silence >= t.timing.SuspectAfter && tracked.server.State == Active:
			tracked.server.State = Suspected
			changed = true
		}
	}
	for id, tracked := range t.vms {
		switch silence := now.Sub(tracked.lastSeen); {
		case silence >= t.timing.RemoveAfter:
			t.RemoveVM(id)
			changed = true
		case silence >= t.timing.vmSuspectAfter() && tracked.vm.State == Active:
			tracked.vm.State = Suspected
			changed = true
		}
	}
	return changed
}

// VM returns the VM with the given id.
func (t *Tracker) VM(id string) (VM, bool) {
	tracked := t.vms[id]
	if tracked == nil {
		return VM{}, false
	}
	return tracked.vm, true
}

// VMs returns all VMs, sorted by id.
func (t *Tracker) VMs() []VM {
	out := make([]VM, 0, len(t.vms))
	for _, tracked := range t.vms {
		out = append(out, tracked.vm)
	}
	slices.SortFunc(out, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Server returns the backend server with the given id.
func (t *Tracker) Server(id string) (Server, bool) {
	tracked := t.servers[id]
	if tracked == nil {
		return Server{}, false
	}
	return tracked.server, true
}

// Records returns the records of all servers that are not suspected, sorted by id. They
// include seeded servers that haven't announced themselves yet, and those that left.
func (t *Tracker) Records() []Server {
	out := make([]Server, 0, len(t.servers))
	for _, tracked := range t.servers {
		if tracked.server.State != Suspected {
			out = append(out, tracked.server.Record())
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Departed returns the sorted ids of the servers that left and that Servers omits.
func (t *Tracker) Departed() []string {
	var out []string
	for id, tracked := range t.servers {
		if tracked.server.Address == "" && tracked.server.State == Leaving {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Servers returns the backend servers, sorted by id. Load.Running is at least the
// sum of the VMs' own counts. A server whose leave arrived before any announcement
// is omitted; it is tracked only to ignore its announcements that arrive later.
func (t *Tracker) Servers() []Server {
	out := make([]Server, 0, len(t.servers))
	for _, tracked := range t.servers {
		s := tracked.server
		if s.Address == "" && s.State == Leaving {
			continue
		}
		running, tokens := tracked.totalLoad()
		s.Load.Running = max(s.Load.Running, running)
		s.Load.Tokens = tokens
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
