package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Timing bounds how long silence is tolerated.
type Timing struct {
	// SuspectAfter is the silence after which a member receives no new work.
	SuspectAfter time.Duration
	// RemoveAfter is the silence after which a member is forgotten.
	RemoveAfter time.Duration
	// VMSuspectAfter is SuspectAfter for VMs; 0 means the same.
	VMSuspectAfter time.Duration
}

// vmSuspectAfter is the silence after which a VM receives no new work.
func (t Timing) vmSuspectAfter() time.Duration {
	if t.VMSuspectAfter > 0 {
		return t.VMSuspectAfter
	}
	return t.SuspectAfter
}

// Tracker is the leader's soft picture of VMs and backend servers. It is
// rebuilt from reports after a change of leader.
type Tracker struct {
	timing  Timing
	servers map[string]*serverEntry
	vms     map[string]*vmEntry
	// byAddress holds the ids of the servers at each address.
	byAddress map[string][]string
	// loaded holds the servers on which each VM reported loads.
	loaded map[string][]string
}

type serverEntry struct {
	server    Server
	lastHeard time.Time
	// running holds each VM's own requests in flight on the server.
	running map[string]OwnLoad
	// seeded is set until the first announcement is heard.
	seeded bool
}

type vmEntry struct {
	vm        VM
	lastHeard time.Time
}

// NewTracker returns an empty tracker.
func NewTracker(timing Timing) *Tracker {
	return &Tracker{
		timing:    timing,
		servers:   map[string]*serverEntry{},
		vms:       map[string]*vmEntry{},
		byAddress: map[string][]string{},
		loaded:    map[string][]string{},
	}
}

// Seed takes over what an earlier view showed, as if heard now. Whoever stays
// silent is suspected after the usual time. A member that drained keeps that
// state until it speaks itself: it may have announced the drain, and then nobody
// may send it work.
func (t *Tracker) Seed(servers []Server, vms []VM, now time.Time) {
	for _, s := range servers {
		t.add(&serverEntry{server: s, lastHeard: now, running: map[string]OwnLoad{}, seeded: true})
	}
	for _, vm := range vms {
		t.vms[vm.ID] = &vmEntry{vm: vm, lastHeard: now}
	}
}

// HearServer records an announcement heard at the given time and reports
// whether anything but the load changed. An older incarnation is ignored, and
// so is an older announcement of the same incarnation, or one at an address at
// which a later start has announced itself.
func (t *Tracker) HearServer(s Server, heardAt time.Time) bool {
	if !t.claimAddress(s) {
		return false
	}
	e := t.servers[s.ID]
	if e == nil {
		t.add(&serverEntry{server: s, lastHeard: heardAt, running: map[string]OwnLoad{}})
		return true
	}
	if s.Incarnation < e.server.Incarnation {
		return false
	}
	if s.Incarnation == e.server.Incarnation && !e.accepts(s, heardAt) {
		return false
	}
	s = s.completedBy(e.server)
	changed := !s.AnnouncesLike(e.server)
	if s.Address != e.server.Address {
		t.leaveAddress(e.server)
		t.byAddress[s.Address] = append(t.byAddress[s.Address], s.ID)
	}
	e.server = s
	e.lastHeard = heardAt
	e.seeded = false
	return changed
}

// completedBy fills in a leave that was passed on by a process that did not know
// the server.
func (s Server) completedBy(known Server) Server {
	if s.State != Leaving || s.Address != "" {
		return s
	}
	known.Incarnation, known.State, known.Sequence = s.Incarnation, s.State, s.Sequence
	return known
}

// accepts reports whether an announcement of the current incarnation is news.
// Leaving is final for an incarnation.
func (e *serverEntry) accepts(s Server, heardAt time.Time) bool {
	if e.server.State == Leaving {
		return false
	}
	if s.Sequence > 0 {
		return s.Sequence > e.server.Sequence || s.Sequence == e.server.Sequence && e.seeded
	}
	return s.State == Leaving || e.seeded || heardAt.After(e.lastHeard)
}

// AnnouncesLike reports whether two announcements say the same but for load and
// sequence.
func (a Server) AnnouncesLike(b Server) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Address == b.Address && a.State == b.State &&
		a.Role == b.Role && a.Slots == b.Slots && slices.Equal(a.Targets, b.Targets) &&
		a.FailureDomain == b.FailureDomain
}

// HearVM records a heartbeat of a VM and reports whether anything but its load
// changed. An older incarnation is ignored.
func (t *Tracker) HearVM(vm VM, now time.Time) bool {
	e := t.vms[vm.ID]
	if e == nil {
		t.vms[vm.ID] = &vmEntry{vm: vm, lastHeard: now}
		return true
	}
	if vm.Incarnation < e.vm.Incarnation {
		return false
	}
	changed := e.vm.State != vm.State || e.vm.Address != vm.Address || e.vm.Incarnation != vm.Incarnation
	e.vm = vm
	e.lastHeard = now
	return changed
}

// Forget removes a VM that has stopped.
func (t *Tracker) Forget(vm string) {
	delete(t.vms, vm)
	t.dropLoads(vm)
}

// Expire applies the bounds on silence and reports whether a state changed.
func (t *Tracker) Expire(now time.Time) bool {
	changed := false
	for id, e := range t.servers {
		switch silent := now.Sub(e.lastHeard); {
		case silent >= t.timing.RemoveAfter:
			t.remove(id)
			changed = true
		case silent >= t.timing.SuspectAfter && e.server.State == Active:
			e.server.State = Suspected
			changed = true
		}
	}
	for id, e := range t.vms {
		switch silent := now.Sub(e.lastHeard); {
		case silent >= t.timing.RemoveAfter:
			t.Forget(id)
			changed = true
		case silent >= t.timing.vmSuspectAfter() && e.vm.State == Active:
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

// VMs returns a sorted copy of all VMs.
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

// Announced returns a sorted copy of the backend servers that run by their own
// word and have not fallen silent, without their loads.
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

// Servers returns a sorted copy of all backend servers. Running is at least
// the sum of the entries' own counts. One that left before it was known is kept
// from view: it only stops a late announcement from bringing it back.
func (t *Tracker) Servers() []Server {
	out := make([]Server, 0, len(t.servers))
	for _, e := range t.servers {
		s := e.server
		if s.Address == "" && s.State == Leaving {
			continue
		}
		running, tokens := e.ownLoads()
		s.Load.Running = max(s.Load.Running, running)
		s.Load.Tokens = tokens
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
