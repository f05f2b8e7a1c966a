package machine

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// leader is the state that exists only on the leading replica: view leases, the
// soft state of the fleet and the pending proposals. A new leader starts from its
// last view or the recorded fleet, and completes its state from Renews and resent
// proposals.
type leader struct {
	r    *replica
	m    *Machine
	term uint64
	// establishedAt is when this replica started to act as leader, after it had
	// committed a log entry of its term. Leases granted by an earlier leader expire
	// within one view lease of it.
	establishedAt time.Time
	fleet         *fleet.Tracker
	views         *view.ChangeTracker
	holders       map[string]*leaseHolder
	// leavingSeq holds, per leaving VM, the sequence of the first view that shows
	// it as leaving. A VM is deleted when its process reports that it has stopped, a
	// later process of the VM renews, or the fleet removes the VM by timeout.
	leavingSeq map[string]uint64
	// restarted holds the incarnation of each VM whose earlier processes are to be
	// abandoned at the next sweep, together: after a change of leader every VM is new to
	// the leader, and a log entry each at its first Renew would keep the leader from its
	// heartbeats.
	restarted map[string]uint64
	// proposers holds the proposer of each uncommitted command by log index.
	proposers      map[uint64]proposer
	pendingChanges []pendingChange
	nextSweep      time.Time
	nextLedgerTick time.Time
	pushes         *pushes
	acks           *entryAcks
	// nextLoadRefresh is the earliest time of the next view that only updates
	// loads.
	nextLoadRefresh time.Time
	orders          *orders
	shares          *shares
	serverLimits    *serverLimits
	segments        *segments
	// partialUntil is when the fleet is assumed to be fully known; zero once it is.
	partialUntil time.Time
	// nextFleetRecord is the earliest time of the next fleet record in the log.
	nextFleetRecord time.Time
	// reads holds the linearizable reads that wait for the consensus core, by read id.
	reads      map[uint64]pendingRead
	lastReadID uint64
}

func newLeader(r *replica, term uint64) *leader {
	m := r.m
	l := &leader{
		r: r, m: m, term: term, establishedAt: m.now,
		fleet:          fleet.NewTracker(m.cfg.Timing.Fleet),
		views:          view.NewChangeTracker(term),
		holders:        map[string]*leaseHolder{},
		leavingSeq:     map[string]uint64{},
		restarted:      map[string]uint64{},
		proposers:      map[uint64]proposer{},
		reads:          map[uint64]pendingRead{},
		nextSweep:      m.now.Add(m.cfg.Timing.SweepInterval),
		nextLedgerTick: m.now.Add(m.cfg.Timing.LedgerTickInterval),
	}
	// Start from the last view of this process. Its VMs and servers keep their state
	// until they report. Silent ones time out as usual: active ones are suspected
	// first, and all are removed in the end.
	previous := m.leaseClient.current
	l.fleet.Seed(previous.Servers, previous.VMs, m.now)
	if len(previous.Servers) == 0 {
		l.fleet.Seed(recordedServers(r.state), nil, m.now)
		l.partialUntil = m.now.Add(m.cfg.Timing.FleetDiscoveryTime)
		l.views.SetPartial(true)
	}
	// The last leader may have committed them without having told this process.
	l.fleet.SeedDepartures(recordedDepartures(r.state), m.now)
	l.orders = newOrders(l)
	l.shares = &shares{l: l}
	l.serverLimits = &serverLimits{l: l, known: map[string]serverLimit{}}
	l.pushes = &pushes{l: l, unaware: map[string]bool{}}
	l.segments = newSegments(l, previous.Segments)
	l.acks = newEntryAcks(l, previous)
	l.pushView()
	l.pushes.announceLeadership(previous.VMs)
	return l
}

// updateView builds a new view and reports whether it changed. Unless it is pushed,
// lease holders receive it in answer to their next Renew.
func (l *leader) updateView() bool {
	l.nextLoadRefresh = l.m.now.Add(l.m.cfg.Timing.RenewInterval)
	changed := l.views.Set(l.r.state.Table(), l.r.state.Routes(), l.viewServers(), l.viewVMs())
	changed = l.views.SetSegments(l.segments.list()) || changed
	if !l.partialUntil.IsZero() {
		changed = l.views.SetDeparted(l.fleet.Departed()) || changed
	}
	for _, vm := range l.views.Current().VMs {
		if _, known := l.leavingSeq[vm.ID]; !known && vm.State == fleet.Leaving {
			l.leavingSeq[vm.ID] = l.seq()
		}
	}
	return changed
}

func (l *leader) seq() uint64 { return l.views.Current().Seq }

func (l *leader) currentTable() *table.Table { return &l.views.Current().Table }

func (l *leader) viewServers() []fleet.Server {
	servers := l.fleet.Servers()
	drains := l.r.state.Drains()
	fencing := l.r.state.Fencing()
	for i := range servers {
		s := &servers[i]
		s.ChecksFencing = fencing[s.ID]
		_, draining := drains[s.ID]
		if (draining || l.orders.isDraining(s.ID)) && s.State == fleet.Active {
			s.State = fleet.Draining
		}
	}
	return servers
}

func (l *leader) viewVMs() []fleet.VM {
	vms := l.fleet.VMs()
	drains := l.r.state.Drains()
	for i := range vms {
		if _, draining := drains[vms[i].ID]; draining && vms[i].State == fleet.Active {
			vms[i].State = fleet.Draining
		}
	}
	return vms
}

// onRenew records the report of one process and grants it a view lease.
func (l *leader) onRenew(from string, msg Renew) {
	if old, known := l.fleet.VM(from); known && msg.VM.Incarnation < old.Incarnation {
		return
	}
	if h := l.holders[from]; h == nil || h.vm.Incarnation < msg.VM.Incarnation {
		delete(l.leavingSeq, from)
		l.restarted[from] = msg.VM.Incarnation
	}
	if msg.Stopped {
		l.removeStopped(from)
		return
	}
	changed := l.fleet.ObserveVM(msg.VM, l.m.now)
	for _, h := range msg.Heard {
		if l.fleet.ObserveServer(h.Server, l.m.now.Add(-h.Age)) {
			changed = true
		}
	}
	l.fleet.ObserveLoads(from, msg.Loads)
	changed = l.segments.observe(from, msg) || changed
	if changed {
		l.onFleetChange()
	} else if !l.m.now.Before(l.nextLoadRefresh) {
		l.updateView()
	}
	l.reconcileMembership(from, msg.Replica)
	l.grantLease(from, msg)
	l.acks.onRenew(from)
	l.answerAppliedChanges()
	l.orders.advance()
}

// abandonEarlierIncarnations abandons the open work of earlier processes of the VMs that
// have renewed with a new incarnation. Those processes have ended, so the outcome of the
// work they sent is unknown.
func (l *leader) abandonEarlierIncarnations() {
	for _, vm := range sortedKeys(l.restarted) {
		abandon := ledger.Abandon{Entry: vm, Incarnation: l.restarted[vm] - 1}
		if !l.r.state.Ledger().IsDead(abandon.Entry, abandon.Incarnation) {
			l.propose(replicated.AbandonWork{Abandon: abandon}, proposer{})
		}
	}
	clear(l.restarted)
}

// forgetRemoved forgets the leaving VMs that the fleet has removed.
func (l *leader) forgetRemoved() {
	for vm := range l.leavingSeq {
		if _, known := l.fleet.VM(vm); !known {
			delete(l.leavingSeq, vm)
		}
	}
}

func (l *leader) tick() {
	now := l.m.now
	l.pushes.tick()
	l.segments.tick()
	l.acks.answerComplete()
	if now.Before(l.nextSweep) {
		return
	}
	l.nextSweep = now.Add(l.m.cfg.Timing.SweepInterval)
	l.endPartialView()
	l.removeUnresponsiveReplica()
	l.promoteLearners()
	l.recordFleet()
	l.abandonEarlierIncarnations()
	l.segments.sweep()
	if l.fleet.Expire(now) {
		l.forgetRemoved()
		l.pushView()
	}
	l.removeExpiredHolders()
	l.answerAppliedChanges()
	l.orders.advance()
	if !now.Before(l.nextLedgerTick) {
		l.nextLedgerTick = now.Add(l.m.cfg.Timing.LedgerTickInterval)
		l.propose(replicated.Tick{}, proposer{})
	}
}

func (l *leader) nextWake() time.Time {
	return earlier(earlier(l.nextSweep, l.pushes.nextWake()), earlier(l.acks.nextWake(), l.segments.nextWake()))
}

// endPartialView marks the view as complete once partialUntil has passed.
func (l *leader) endPartialView() {
	if l.partialUntil.IsZero() || l.m.now.Before(l.partialUntil) {
		return
	}
	l.partialUntil = time.Time{}
	l.views.SetPartial(false)
	l.pushView()
}
