package machine

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
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
	journal *view.Journal
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

// leaseHolder is a process that holds a view lease.
type leaseHolder struct {
	vm fleet.VM
	// until is when the lease has run out by this clock, drift included.
	until time.Time
	// holds is what its last Renew named, pushed what it has if no push since was
	// lost: a push builds on that, and one that can't be applied brings a Renew.
	holds, pushed view.Holding
	tableVersion  uint64
	demands       []fleet.Demand
	// loads are its own requests per backend server, counted while the view
	// loadsSeq of this term was in force for its traffic.
	loads    []fleet.OwnLoad
	loadsSeq uint64
}

func newLeader(r *replica, term uint64) *leader {
	m := r.m
	l := &leader{
		r: r, m: m, term: term, since: m.now,
		fleet:    fleet.NewTracker(m.cfg.Timing.Fleet),
		journal:  view.NewJournal(term),
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
	updates := map[view.Holding]*view.Update{}
	for _, id := range sortedKeys(l.holders) {
		h := l.holders[id]
		u := updates[h.pushed]
		if u == nil {
			u = l.journal.Since(h.pushed)
			updates[h.pushed] = u
		}
		h.pushed = l.journal.Holding()
		l.m.send(id, Grant{Term: l.term, Seq: l.seq(), Update: u, Confirm: l.awaits(h)})
	}
}

// awaits reports whether something waits until the holder has the present view
// in force: the answer to a change of the table, or a VM that leaves. Other news
// needs no Renew ahead of time, which in a large fleet would cost the leader as
// much as the news itself.
func (l *leader) awaits(h *leaseHolder) bool {
	return len(l.leaving) > 0 || h.tableVersion < l.tableInView().Version
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

// hasLeft holds once no entry that may answer callers has a view in force in
// which the VM still takes work.
func (l *leader) hasLeft(vm string) bool {
	seq, leaving := l.leaving[vm]
	if !leaving || l.m.now.Before(l.leasesBefore()) {
		return false
	}
	for id, h := range l.holders {
		if id != vm && h.holds.Seq < seq && l.m.now.Before(h.until) {
			return false
		}
	}
	return true
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
	changed := l.fleet.HearVM(msg.VM, l.m.now)
	for _, h := range msg.Heard {
		if l.fleet.HearServer(h.Server, l.m.now.Add(-h.Age)) {
			changed = true
		}
	}
	l.fleet.HearLoads(from, msg.Loads)
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

func (l *leader) grant(to string, msg Renew) {
	lease := l.m.cfg.Timing.ViewLease
	h := l.holders[to]
	if h == nil {
		h = &leaseHolder{}
		l.holders[to] = h
	}
	h.vm = msg.VM
	h.until = l.m.now.Add(lease)
	h.demands = msg.Demands
	h.loads = msg.Loads
	h.loadsSeq = 0
	if msg.LoadsTerm == l.term {
		h.loadsSeq = msg.LoadsSeq
	}
	h.holds, h.tableVersion = view.Holding{Routes: msg.RoutesVersion}, 0
	if msg.ViewTerm == l.term {
		h.holds.Seq = msg.ViewSeq
		h.tableVersion = msg.TableVersion
	}
	h.pushed = h.holds
	g := Grant{Echo: msg.SentAt, Lease: lease, Term: l.term, Seq: l.seq(), Shares: l.shares.of(to), Left: l.hasLeft(to)}
	if h.holds.Seq != l.seq() {
		g.Update = l.journal.Since(h.holds)
		h.pushed = l.journal.Holding()
	}
	l.m.send(to, g)
}

// release forgets a process that has drained: it takes no new work any more.
func (l *leader) release(from string) {
	delete(l.leaving, from)
	delete(l.holders, from)
	l.fleet.Forget(from)
	l.rebuild()
	l.checkInForce()
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

// dropHolders forgets leases that ran out long ago.
func (l *leader) dropHolders() {
	for id, h := range l.holders {
		if l.m.now.Sub(h.until) > l.m.cfg.Timing.Fleet.RemoveAfter {
			delete(l.holders, id)
		}
	}
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

// read answers a read of the routes once this leader is known to lead still.
func (l *leader) read(p proposer) {
	l.lastRead++
	l.reads[l.lastRead] = p
	l.r.core.Read(l.m.now, l.lastRead)
}

func (l *leader) readDone(res consensus.ReadResult) {
	p, known := l.reads[res.ID]
	if !known {
		return
	}
	delete(l.reads, res.ID)
	if res.Failed || l.r.applied < res.Index {
		l.m.send(p.vm, NotLeader{Proposal: p.id})
		return
	}
	l.answer(p, l.r.state.ReadRoutes())
}

// repairMembers brings a replica that returned without its disk back as a
// learner, takes out its old identity, and promotes it once it has caught up.
func (l *leader) repairMembers(vm string, id consensus.NodeID) {
	if id == "" || !l.m.cfg.OpenMembership && !slices.Contains(l.m.cfg.Replicas, vm) {
		return
	}
	st := l.r.core.Status()
	if slices.Contains(st.Members.Voters, id) {
		return
	}
	next, ok := nextMembers(st.Members, vm, id)
	if !ok {
		return
	}
	// A change refused now, such as a learner that lags, is tried at the next Renew.
	_ = l.r.core.ChangeMembers(l.m.now, next)
}

// minVoters is the number of voters below which silence removes none: one of
// three may be lost.
const minVoters = 3

// dropSilentMember takes one replica out of an open membership that has been
// silent for long, so that replicas gone for good don't weigh on the quorum.
// One that returns joins again.
func (l *leader) dropSilentMember() {
	if !l.m.cfg.OpenMembership || l.m.now.Sub(l.since) < l.m.cfg.Timing.ReplicaRemoveAfter {
		return
	}
	cur := l.r.core.Status().Members
	next := consensus.Members{Voters: slices.Clone(cur.Voters), Learners: slices.Clone(cur.Learners)}
	if i := slices.IndexFunc(next.Learners, l.isSilent); i >= 0 {
		next.Learners = slices.Delete(next.Learners, i, i+1)
	} else if i := slices.IndexFunc(next.Voters, l.isSilent); i >= 0 && (len(next.Voters) > minVoters || !l.m.keeps(ruleKeepVoters)) {
		next.Voters = slices.Delete(next.Voters, i, i+1)
	} else {
		return
	}
	// A change refused now is tried again at the next sweep.
	_ = l.r.core.ChangeMembers(l.m.now, next)
}

// isSilent reports whether no process of the replica's VM was heard for long.
func (l *leader) isSilent(id consensus.NodeID) bool {
	h := l.holders[VMOf(id)]
	if h == nil {
		return VMOf(id) != l.m.cfg.Self.ID
	}
	heard := h.until.Add(-l.m.cfg.Timing.ViewLease)
	return l.m.now.Sub(heard) >= l.m.cfg.Timing.ReplicaRemoveAfter
}

// nextMembers returns the next single change towards vm taking part as id.
func nextMembers(cur consensus.Members, vm string, id consensus.NodeID) (consensus.Members, bool) {
	next := consensus.Members{
		Voters:   slices.Clone(cur.Voters),
		Learners: slices.Clone(cur.Learners),
	}
	other := func(n consensus.NodeID) bool { return VMOf(n) == vm && n != id }
	stale := slices.IndexFunc(next.Learners, other)
	if stale >= 0 {
		next.Learners = slices.Delete(next.Learners, stale, stale+1)
		return next, true
	}
	if !slices.Contains(next.Learners, id) {
		next.Learners = append(next.Learners, id)
		return next, true
	}
	old := slices.IndexFunc(next.Voters, other)
	if old >= 0 && len(next.Voters) > 2 {
		next.Voters = slices.Delete(next.Voters, old, old+1)
		return next, true
	}
	next.Learners = slices.DeleteFunc(next.Learners, func(n consensus.NodeID) bool { return n == id })
	next.Voters = append(next.Voters, id)
	return next, true
}
