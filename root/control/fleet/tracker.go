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
// leader rebuilds it from the reports that it receives.
type Tracker struct {
	timing  Timing
	servers map[string]*serverEntry
	vms     map[string]*vmEntry
	// byAddress maps an address to the ids of the servers there.
	byAddress map[string][]string
	// loadedServers maps a VM to the ids of the servers that it reported loads on.
	loadedServers map[string][]string
}

type serverEntry struct {
	server   Server
	lastSeen time.Time
	// loadsByVM holds the load that each VM puts on the server.
	loadsByVM map[string]OwnLoad
	// seeded is set until the first announcement arrives.
	seeded bool
}

type vmEntry struct {
	vm       VM
	lastSeen time.Time
}

// NewTracker returns an empty tracker.
func NewTracker(timing Timing) *Tracker {
	return &Tracker{
		timing:        timing,
		servers:       map[string]*serverEntry{},
		vms:           map[string]*vmEntry{},
		byAddress:     map[string][]string{},
		loadedServers: map[string][]string{},
	}
}

// Seed adds the members of an earlier view as if they had announced themselves
// now, so that silent ones are suspected after the usual timeout. A draining
// member keeps its state until it announces itself: it may have asked for the
// drain itself, and then must not receive new requests.
func (t *Tracker) Seed(servers []Server, vms []VM, now time.Time) {
	for _, s := range servers {
		t.addServer(&serverEntry{server: s, lastSeen: now, loadsByVM: map[string]OwnLoad{}, seeded: true})
	}
	for _, vm := range vms {
		t.vms[vm.ID] = &vmEntry{vm: vm, lastSeen: now}
	}
}

// ObserveServer records an announcement received at the given time and reports
// whether anything but the load changed. It ignores announcements of an earlier
// incarnation, outdated ones of the current incarnation, and those of a server
// that another one has replaced at its address.
func (t *Tracker) ObserveServer(s Server, receivedAt time.Time) bool {
	if !t.claimAddress(s) {
		return false
	}
	e := t.servers[s.ID]
	if e == nil {
		t.addServer(&serverEntry{server: s, lastSeen: receivedAt, loadsByVM: map[string]OwnLoad{}})
		return true
	}
	if s.Incarnation < e.server.Incarnation {
		return false
	}
	if s.Incarnation == e.server.Incarnation && !e.isNewer(s, receivedAt) {
		return false
	}
	s = s.withDetailsFrom(e.server)
	changed := !s.SameAnnouncement(e.server)
	if s.Address != e.server.Address {
		t.removeFromAddress(e.server)
		t.byAddress[s.Address] = append(t.byAddress[s.Address], s.ID)
	}
	e.server = s
	e.lastSeen = receivedAt
	e.seeded = false
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
func (e *serverEntry) isNewer(s Server, receivedAt time.Time) bool {
	if e.server.State == Leaving {
		return false
	}
	if s.Sequence > 0 {
		return s.Sequence > e.server.Sequence || s.Sequence == e.server.Sequence && e.seeded
	}
	return s.State == Leaving || e.seeded || receivedAt.After(e.lastSeen)
}

// SameAnnouncement reports whether two announcements agree on identity, address,
// failure domain, state, role, slots and targets.
func (a Server) SameAnnouncement(b Server) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Address == b.Address && a.State == b.State &&
		a.Role == b.Role && a.Slots == b.Slots && slices.Equal(a.Targets, b.Targets) &&
		a.FailureDomain == b.FailureDomain
}

// ObserveVM records a heartbeat of a VM and reports whether its state, address or
// incarnation changed. Heartbeats of an earlier incarnation are ignored.
func (t *Tracker) ObserveVM(vm VM, now time.Time) bool {
	e := t.vms[vm.ID]
	if e == nil {
		t.vms[vm.ID] = &vmEntry{vm: vm, lastSeen: now}
		return true
	}
	if vm.Incarnation < e.vm.Incarnation {
		return false
	}
	changed := e.vm.State != vm.State || e.vm.Address != vm.Address || e.vm.Incarnation != vm.Incarnation
	e.vm = vm
	e.lastSeen = now
	return changed
}

// RemoveVM removes a VM and the loads that it reported.
func (t *Tracker) RemoveVM(vm string) {
	delete(t.vms, vm)
	t.removeLoads(vm)
}

// Expire suspects or removes the members that have been silent for too long, and
// reports whether there were any.
func (t *Tracker) Expire(now time.Time) bool {
	changed := false
	for id, e := range t.servers {
		switch silence := now.Sub(e.lastSeen); {
		case silence >= t.timing.RemoveAfter:
			t.removeServer(id)
			changed = true
		case silence >= t.timing.SuspectAfter && e.server.State == Active:
			e.server.State = Suspected
			changed = true
		}
	}
	for id, e := range t.vms {
		switch silence := now.Sub(e.lastSeen); {
		case silence >= t.timing.RemoveAfter:
			t.RemoveVM(id)
			changed = true
		case silence >= t.timing.vmSuspectAfter() && e.vm.State == Active:
			e.vm.State = Suspected
			changed = true
		}
	}
	return changed
}

// VM returns the VM with the given id.
func (t *Tracker) VM(id string) (VM, bool) {
	e := t.vms[id]
	if e == nil {
		return VM{}, false
	}
	return e.vm, true
}

// VMs returns all VMs, sorted by id.
func (t *Tracker) VMs() []VM {
	out := make([]VM, 0, len(t.vms))
	for _, e := range t.vms {
		out = append(out, e.vm)
	}
	slices.SortFunc(out, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Server returns the backend server with the given id.
func (t *Tracker) Server(id string) (Server, bool) {
	e := t.servers[id]
	if e == nil {
		return Server{}, false
	}
	return e.server, true
}

// Announced returns the backend servers that are neither leaving nor suspected,
// sorted by id, without their loads.
func (t *Tracker) Announced() []Server {
	out := make([]Server, 0, len(t.servers))
	for _, e := range t.servers {
		s := e.server
		if s.State == Leaving || s.State == Suspected {
			continue
		}
		s.Load = Load{}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Servers returns the backend servers, sorted by id. Load.Running is at least the
// sum of the VMs' own counts. A server whose leave arrived before any
// announcement is omitted; its entry only keeps late announcements from reviving
// it.
func (t *Tracker) Servers() []Server {
	out := make([]Server, 0, len(t.servers))
	for _, e := range t.servers {
		s := e.server
		if s.Address == "" && s.State == Leaving {
			continue
		}
		running, tokens := e.totalLoad()
		s.Load.Running = max(s.Load.Running, running)
		s.Load.Tokens = tokens
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
