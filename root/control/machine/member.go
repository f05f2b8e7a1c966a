package machine

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// member keeps this process's view and its lease. Every process has one.
//
// Invariants: the published term and sequence never go back; the lease covers
// only the view that the leader called current.
type member struct {
	m       *Machine
	current *view.View
	// leader is the VM to ask; a guess until a Grant arrives.
	leader    string
	nextRenew time.Time
	// waiting is set between a Renew and its answer.
	waiting   bool
	waitUntil time.Time
	heard     map[string]heard
	// reported is when the last Renew was sent that the leader of reportedTerm has
	// answered, since the start: it knows what was heard before.
	reported     time.Duration
	reportedTerm uint64
	own          Traffic
	state        fleet.State
	stopped      bool
}

type heard struct {
	server fleet.Server
	at     time.Time
}

func newMember(m *Machine) *member {
	return &member{m: m, heard: map[string]heard{}, nextRenew: m.now, current: &view.View{LeaseOptional: m.cfg.LeaseOptional}}
}

// announced records a backend server's announcement. News travels at once.
func (b *member) announced(s fleet.Server) {
	old, known := b.heard[s.ID]
	if known && !s.Supersedes(old.server) {
		return
	}
	b.heard[s.ID] = heard{server: s, at: b.m.now}
	if !known || old.server.State != s.State || old.server.Incarnation != s.Incarnation || old.server.Role != s.Role {
		b.nextRenew = b.m.now
	}
}

// departed records that a backend server stops. One that is unknown here may be
// known elsewhere: the leader hears of it all the same.
func (b *member) departed(d Departed) {
	s := b.known(d.Server)
	if d.Incarnation != 0 {
		s.Incarnation = d.Incarnation
	}
	s.State = fleet.Leaving
	s.Sequence = fleet.LastSequence
	b.announced(s)
}

// known returns what this process knows of a server; of an unknown one its id.
func (b *member) known(id string) fleet.Server {
	if h, ok := b.heard[id]; ok {
		return h.server
	}
	for _, s := range b.current.Servers {
		if s.ID == id {
			return s
		}
	}
	return fleet.Server{ID: id}
}

func (b *member) traffic(t Traffic) { b.own = t }

func (b *member) stop(phase StopPhase) {
	b.state = fleet.Leaving
	b.nextRenew = b.m.now
	switch phase {
	case StopLeaving:
		b.publish(func(v *view.View) { v.Leaving = true })
	case StopRefusing:
		b.publish(func(v *view.View) { v.Stopping = true })
	case StopDone:
		b.stopped = true
	}
	// Leadership moves first, while this process still takes part in the log.
	if b.m.replica != nil && phase != StopRefusing {
		b.m.replica.handOver()
	}
}

func (b *member) tick() {
	if b.waiting && !b.m.now.Before(b.waitUntil) {
		b.waiting = false
		b.tryNextReplica()
		b.nextRenew = b.m.now
	}
	if !b.m.now.Before(b.nextRenew) {
		b.renew()
	}
}

func (b *member) nextWake() time.Time {
	if b.waiting {
		return earlier(b.nextRenew, b.waitUntil)
	}
	return b.nextRenew
}

func (b *member) renew() {
	if b.leader == "" {
		b.tryNextReplica()
	}
	t := b.m.cfg.Timing
	b.nextRenew = b.m.now.Add(t.RenewInterval)
	// The time without an answer counts from the first Renew that got none.
	if !b.waiting {
		b.waiting = true
		b.waitUntil = b.m.now.Add(t.RenewTimeout)
	}
	b.m.send(b.leader, b.renewMessage())
}

func (b *member) renewMessage() Renew {
	vm := b.m.cfg.Self
	vm.State = b.shownState()
	vm.InFlight = b.own.InFlight
	vm.Replica = b.m.replica != nil
	return Renew{
		VM:            vm,
		SentAt:        b.m.now.Sub(b.m.started),
		ViewTerm:      b.current.Term,
		ViewSeq:       b.current.Seq,
		TableVersion:  b.current.Table.Version,
		RoutesVersion: b.routesVersion(),
		Heard:         b.freshAnnouncements(),
		Loads:         b.own.Loads,
		LoadsTerm:     b.own.ViewTerm,
		LoadsSeq:      b.own.ViewSeq,
		Demands:       b.own.Demands,
		Replica:       b.replicaID(),
		Stopped:       b.stopped,
	}
}

func (b *member) routesVersion() uint64 {
	if b.current.Routes == nil {
		return 0
	}
	return b.current.Routes.Version
}

// shownState keeps callers away until this process may take new work.
func (b *member) shownState() fleet.State {
	if b.state == fleet.Active && !b.current.Ready(b.m.now) {
		return fleet.Suspected
	}
	return b.state
}

func (b *member) replicaID() consensus.NodeID {
	if b.m.replica == nil {
		return ""
	}
	return b.m.replica.id
}

// freshAnnouncements returns what was heard lately and the leader does not know, and
// forgets what is old.
func (b *member) freshAnnouncements() []fleet.Announcement {
	out := make([]fleet.Announcement, 0, len(b.heard))
	for _, id := range sortedKeys(b.heard) {
		h := b.heard[id]
		age := b.m.now.Sub(h.at)
		if age >= b.m.cfg.Timing.Fleet.RemoveAfter {
			delete(b.heard, id)
			continue
		}
		if h.at.Sub(b.m.started) >= b.reported {
			out = append(out, fleet.Announcement{Server: h.server, Age: age})
		}
	}
	return out
}

func (b *member) tryNextReplica() {
	all := b.replicas()
	if len(all) == 0 {
		return
	}
	i := slices.Index(all, b.leader)
	b.leader = all[(i+1)%len(all)]
}

// replicas returns the VMs that may lead: those of the settings, then those of
// the view.
func (b *member) replicas() []string {
	out := slices.Clone(b.m.cfg.Replicas)
	for _, vm := range b.current.VMs {
		if vm.Replica && !slices.Contains(out, vm.ID) {
			out = append(out, vm.ID)
		}
	}
	return out
}

func (b *member) notLeader(from string, msg NotLeader) {
	if from != b.leader {
		return
	}
	if msg.Leader != "" && msg.Leader != b.leader {
		b.leader = msg.Leader
		b.waiting = false
		b.nextRenew = b.m.now
		return
	}
	// The replica answered but knows no leader: ask the next one after the timeout.
	b.waiting = true
	b.waitUntil = earlier(b.waitUntil, b.m.now.Add(b.m.cfg.Timing.LeaderRetry))
}

// grant takes a lease, a newer view, or both. A grant of an older term has no effect.
func (b *member) grant(from string, g Grant) {
	if g.Term < b.current.Term && b.m.keeps(ruleViewOrder) {
		return
	}
	b.leader = from
	b.noteReported(g)
	inForce := g.Update == nil || b.adopt(g.Update)
	if g.Lease == 0 {
		if g.Confirm || !inForce {
			b.nextRenew = b.m.now
		}
		return
	}
	b.waiting = false
	if g.Term == b.current.Term && g.Seq == b.current.Seq {
		b.extend(g)
	}
	if g.Left && !b.current.Left {
		b.publish(func(v *view.View) { v.Left = true })
	}
	if len(g.Shares) > 0 {
		b.m.emit(SetShares{Shares: g.Shares})
	}
}

// noteReported notes what the leader knows by its answer. The leader of another term
// is told everything again, at once: a leave is said only once.
func (b *member) noteReported(g Grant) {
	switch {
	case g.Term != b.reportedTerm:
		b.reported, b.reportedTerm = 0, g.Term
		b.nextRenew = b.m.now
	case g.Lease > 0:
		b.reported = max(b.reported, g.Echo)
	}
}

// adopt puts an update in force when it is news. It reports false for one that
// starts from a view or routes that this process does not have.
func (b *member) adopt(u *view.Update) bool {
	cur := b.current
	if !b.m.keeps(ruleViewOrder) {
		cur = &view.View{LeaseUntil: cur.LeaseUntil, LeaseOptional: cur.LeaseOptional, Leaving: cur.Leaving, Stopping: cur.Stopping}
	}
	next, ok := u.Apply(cur)
	if !ok {
		return !u.Newer(cur)
	}
	b.current = next
	b.m.emit(Publish{View: b.current})
	return true
}

// extend measures the lease from the moment the Renew was sent, shortened by
// the bound on clock drift.
func (b *member) extend(g Grant) {
	drift := time.Duration(float64(g.Lease) * b.m.cfg.Timing.MaxClockDrift)
	sent := b.m.started.Add(g.Echo)
	if !b.m.keeps(ruleLeaseFromSend) {
		sent = b.m.now
	}
	until := sent.Add(g.Lease - drift)
	if !until.After(b.current.LeaseUntil) {
		return
	}
	wasReady := b.current.Ready(b.m.now)
	b.publish(func(v *view.View) { v.LeaseUntil = until })
	if !wasReady {
		// The others learn at once that callers may come.
		b.nextRenew = b.m.now
	}
}

func (b *member) publish(change func(*view.View)) {
	next := *b.current
	change(&next)
	b.current = &next
	b.m.emit(Publish{View: b.current})
}
