package machine

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// leader is the work of the replica that leads: view leases, the fleet's soft
// state, and answers to proposals. It is rebuilt from Renews after a change of
// leader.
type leader struct {
	r    *replica
	m    *Machine
	term uint64
	// since is when this term was settled. Leases of an earlier leader have run
	// out one view lease later.
	since   time.Time
	fleet   *fleet.Tracker
	journal *view.ChangeTracker
	holders map[string]*leaseHolder
	// leaving holds the sequence of the view in which a VM was first leaving.
	leaving  map[string]uint64
	waiting  map[uint64]proposer
	inForce  []inForce
	sweepAt  time.Time
	ledgerAt time.Time
	// pushAt is when the next change of the fleet may be pushed; fleetDirty says
	// that one waits.
	pushAt     time.Time
	fleetDirty bool
	// loadsAt is when the next view with new loads may be made.
	loadsAt time.Time
	orders  *orders
	shares  *shares
	// partialUntil is when the picture of the fleet counts as whole.
	partialUntil time.Time
	// recordAgainAt is when the fleet may be recorded in the log again.
	recordAgainAt time.Time
	// reads holds the linearizable reads that wait for the log.
	reads    map[uint64]proposer
	lastRead uint64
}

func newLeader(r *replica, term uint64) *leader {
	m := r.m
	l := &leader{
		r: r, m: m, term: term, since: m.now,
		fleet:    fleet.NewTracker(m.cfg.Timing.Fleet),
		journal:  view.NewChangeTracker(term),
		holders:  map[string]*leaseHolder{},
		leaving:  map[string]uint64{},
		waiting:  map[uint64]proposer{},
		reads:    map[uint64]proposer{},
		sweepAt:  m.now.Add(m.cfg.Timing.LeaderSweep),
		ledgerAt: m.now.Add(m.cfg.Timing.LedgerTick),
	}
	// Entries go on with the servers that they know: the earlier leader's view
	// stands until reports confirm it or silence ends it.
	before := m.member.current
	l.fleet.Seed(before.Servers, before.VMs, m.now)
	if len(before.Servers) == 0 {
		l.fleet.Seed(recordedServers(r.state), nil, m.now)
		l.partialUntil = m.now.Add(m.cfg.Timing.FleetSettle)
		l.journal.SetPartial(true)
	}
	l.orders = newOrders(l)
	l.shares = &shares{l: l}
	l.rebuild()
	l.announce(before.VMs)
	return l
}

// announce tells the VMs of the last view who leads now, so that none has to find
// out by the silence of the leader before.
func (l *leader) announce(vms []fleet.VM) {
	l.m.send(l.m.cfg.Self.ID, Grant{Term: l.term, Seq: l.seq(), Confirm: true})
	for _, vm := range vms {
		if vm.ID != l.m.cfg.Self.ID {
			l.m.send(vm.ID, Grant{Term: l.term, Seq: l.seq(), Confirm: true})
		}
	}
}

// rebuild makes a new view of the current state and pushes it to lease holders.
func (l *leader) rebuild() {
	l.fleetDirty = false
	l.pushAt = l.m.now.Add(l.m.cfg.Timing.pushInterval(len(l.holders)))
	if !l.refresh() {
		return
	}
	// Most holders have the same view in force and share one update.
	updates := map[view.Versions]*view.Update{}
	for _, id := range sortedKeys(l.holders) {
		h := l.holders[id]
		u := updates[h.pushed]
		if u == nil {
			u = l.journal.Since(h.pushed)
			updates[h.pushed] = u
		}
		h.pushed = l.journal.Versions()
		l.m.send(id, Grant{Term: l.term, Seq: l.seq(), Update: u, Confirm: l.awaits(h)})
	}
}

// fleetChanged makes and pushes a new view, at most one a push interval: after a
// change of leader every report brings news.
func (l *leader) fleetChanged() {
	if l.m.now.Before(l.pushAt) {
		l.fleetDirty = true
		return
	}
	l.rebuild()
}

// refresh makes a new view without pushing it: entries fetch it as they renew.
func (l *leader) refresh() bool {
	l.loadsAt = l.m.now.Add(l.m.cfg.Timing.RenewInterval)
	changed := l.journal.Set(l.r.state.Table(), l.r.state.Routes(), l.serversInView(), l.vmsInView())
	for _, vm := range l.journal.Current().VMs {
		if _, known := l.leaving[vm.ID]; !known && vm.State == fleet.Leaving {
			l.leaving[vm.ID] = l.seq()
		}
	}
	return changed
}

func (l *leader) seq() uint64 { return l.journal.Current().Seq }

func (l *leader) tableInView() *table.Table { return &l.journal.Current().Table }

func (l *leader) serversInView() []fleet.Server {
	servers := l.fleet.Servers()
	drains := l.r.state.Drains()
	fencing := l.r.state.Fencing()
	for i := range servers {
		s := &servers[i]
		s.ChecksFencing = fencing[s.ID]
		_, draining := drains[s.ID]
		if (draining || l.orders.drains(s.ID)) && s.State == fleet.Active {
			s.State = fleet.Draining
		}
	}
	return servers
}

func (l *leader) vmsInView() []fleet.VM {
	vms := l.fleet.VMs()
	drains := l.r.state.Drains()
	for i := range vms {
		if _, draining := drains[vms[i].ID]; draining && vms[i].State == fleet.Active {
			vms[i].State = fleet.Draining
		}
	}
	return vms
}

// renewed takes one process's report and grants it a view lease.
func (l *leader) renewed(from string, msg Renew) {
	if old, known := l.fleet.VM(from); known && msg.VM.Incarnation < old.Incarnation {
		return
	}
	if h := l.holders[from]; h == nil || h.vm.Incarnation < msg.VM.Incarnation {
		delete(l.leaving, from)
		l.abandonBefore(msg.VM)
	}
	if msg.Stopped {
		l.release(from)
		return
	}
	changed := l.fleet.ObserveVM(msg.VM, l.m.now)
	for _, h := range msg.Heard {
		if l.fleet.ObserveServer(h.Server, l.m.now.Add(-h.Age)) {
			changed = true
		}
	}
	l.fleet.ObserveLoads(from, msg.Loads)
	if changed {
		l.fleetChanged()
	} else if !l.m.now.Before(l.loadsAt) {
		l.refresh()
	}
	l.repairMembers(from, msg.Replica)
	l.grant(from, msg)
	l.checkInForce()
	l.orders.advance()
}

// abandonBefore settles the open work of earlier processes of a VM: they have
// ended, and what they sent can't be known.
func (l *leader) abandonBefore(vm fleet.VM) {
	l.commit(replicated.AbandonWork{Abandon: ledger.Abandon{Entry: vm.ID, Incarnation: vm.Incarnation - 1}}, proposer{})
}

func (l *leader) tick() {
	now := l.m.now
	if l.fleetDirty && !now.Before(l.pushAt) {
		l.rebuild()
	}
	if now.Before(l.sweepAt) {
		return
	}
	l.sweepAt = now.Add(l.m.cfg.Timing.LeaderSweep)
	l.settle()
	l.dropSilentMember()
	l.recordFleet()
	if l.fleet.Expire(now) {
		l.rebuild()
	}
	l.dropHolders()
	l.checkInForce()
	l.orders.advance()
	if !now.Before(l.ledgerAt) {
		l.ledgerAt = now.Add(l.m.cfg.Timing.LedgerTick)
		l.commit(replicated.Tick{}, proposer{})
	}
}

func (l *leader) nextWake() time.Time {
	if l.fleetDirty {
		return earlier(l.sweepAt, l.pushAt)
	}
	return l.sweepAt
}

// settle ends the time in which the picture of the fleet may lack members.
func (l *leader) settle() {
	if l.partialUntil.IsZero() || l.m.now.Before(l.partialUntil) {
		return
	}
	l.partialUntil = time.Time{}
	l.journal.SetPartial(false)
	l.rebuild()
}
