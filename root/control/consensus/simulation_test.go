package consensus

import (
	"encoding/binary"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// simulation is a cluster in memory with simulated time, network and disks. history
// checks the invariants over all replicas.
type simulation struct {
	t      *rapid.T
	mutant mutant
	seed   uint64
	now    time.Duration
	nodes  []*node
	// net holds the messages in flight. netBuffer is the memory of the previous net,
	// which deliverDue reuses.
	net       []packet
	netBuffer []packet
	// blocked and delay apply to one direction of a link.
	blocked map[link]bool
	delay   map[link]time.Duration
	history history
	// readMinIndex maps the ID of a pending read to the highest index that was committed
	// when the read started.
	readMinIndex map[uint64]uint64
	nodeCount    int
	draws        uint64
	packetCount  uint64
	// lastID is the last ID of a read or value of a proposal; they share a counter.
	lastID uint64
}

var bools = []bool{true, false}

// choose draws one of the values with equal probability. rapid prefers small
// numbers, so its draw is hashed together with the number of draws.
func choose[T any](sim *simulation, values []T) T {
	sim.draws++
	x := rapid.Uint64().Draw(sim.t, "choice") + sim.draws*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return values[(x^x>>31)%uint64(len(values))]
}

type link struct{ from, to ReplicaID }

type packet struct {
	id        uint64
	deliverAt time.Duration
	message   *Message
}

// maxPackets bounds the messages in flight. The oldest messages beyond it are lost.
const maxPackets = 150

func newSimulation(t *rapid.T, m mutant) *simulation {
	sim := &simulation{
		t: t, mutant: m, seed: rapid.Uint64().Draw(t, "seed"),
		blocked: map[link]bool{}, delay: map[link]time.Duration{},
		history: newHistory(), readMinIndex: map[uint64]uint64{},
	}
	var members Members
	for range choose(sim, []int{3, 4, 5}) {
		members.Voters = append(members.Voters, sim.newID())
	}
	for _, id := range members.Voters {
		sim.addNode(id, members)
	}
	return sim
}

func (sim *simulation) newID() ReplicaID {
	sim.nodeCount++
	return ReplicaID(rune('a' + sim.nodeCount - 1))
}

func (sim *simulation) addNode(id ReplicaID, members Members) *node {
	n := &node{id: id, members: members, rate: 1, clockAt: sim.now, clockBase: time.Duration(len(sim.nodes)) * time.Hour}
	sim.nodes = append(sim.nodes, n)
	n.restart(sim)
	return n
}

func (sim *simulation) node(id ReplicaID) *node {
	for _, n := range sim.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// pickNode draws one of the nodes that satisfy ok. It returns nil if there is none.
func (sim *simulation) pickNode(ok func(*node) bool) *node {
	var found []*node
	for _, n := range sim.nodes {
		if ok(n) {
			found = append(found, n)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return choose(sim, found)
}

// processOutput carries out the output of a node's core and checks the invariants.
func (sim *simulation) processOutput(n *node) {
	for {
		if sim.mutant == leaseKeptInTransfer && n.isLeader() {
			n.core.leaderState.transfer.timeoutNowSent = false
		}
		out := n.core.Output()
		n.changes = append(n.changes, out.Changes...)
		sim.restore(n, out.Restore)
		for _, e := range out.Committed {
			n.apply(e)
			sim.history.commit(sim.t, n, e)
		}
		for _, m := range out.Messages {
			l := link{m.From, m.To}
			sim.packetCount++
			sim.net = append(sim.net, packet{id: sim.packetCount, deliverAt: sim.now + sim.delay[l], message: &m})
		}
		for _, r := range out.Reads {
			sim.checkRead(r)
		}
		if batch := out.Persist; batch != nil {
			sim.history.append(sim.t, n, batch.Entries)
			n.unsynced = append(n.unsynced, batch)
			if sim.mutant == ackedBeforeDurable {
				n.core.Persisted(n.localTime(sim.now), batch.Seq)
				continue
			}
		}
		break
	}
	if len(sim.net) > maxPackets {
		sim.net = sim.net[len(sim.net)-maxPackets:]
	}
	sim.history.checkLeaders(sim.t, sim.nodes, sim.now)
}

func (sim *simulation) restore(n *node, s *Snapshot) {
	if s == nil {
		return
	}
	n.applied, n.state = s.Index, binary.LittleEndian.Uint64(s.Data)
	sim.history.restore(sim.t, n, s)
}

func (sim *simulation) checkRead(r ReadResult) {
	minIndex := sim.readMinIndex[r.ID]
	delete(sim.readMinIndex, r.ID)
	if !r.Failed && r.Index < minIndex {
		sim.t.Fatalf("stale read: index %d, but index %d was committed before the read started", r.Index, minIndex)
	}
}

func (sim *simulation) read(n *node) {
	sim.lastID++
	sim.readMinIndex[sim.lastID] = sim.history.highestCommitted
	if sim.mutant == readWithoutRound && n.isLeader() {
		sim.checkRead(ReadResult{ID: sim.lastID, Index: n.core.commit})
		return
	}
	n.core.Read(n.localTime(sim.now), sim.lastID)
	sim.processOutput(n)
}

func (sim *simulation) propose(n *node) {
	sim.lastID++
	if _, err := n.core.Propose(n.localTime(sim.now), binary.AppendUvarint(nil, sim.lastID)); err == nil {
		sim.processOutput(n)
	}
}

// finishWrite makes the oldest unsynced batch of a node durable and reports it.
func (sim *simulation) finishWrite(n *node) {
	if len(n.unsynced) == 0 {
		return
	}
	batch := n.unsynced[0]
	n.unsynced = n.unsynced[1:]
	n.write(sim, batch, true)
	n.core.Persisted(n.localTime(sim.now), batch.Seq)
	sim.processOutput(n)
}

func (sim *simulation) receive(m Message) {
	n := sim.node(m.To)
	if n == nil || !n.running() {
		return
	}
	switch {
	case sim.mutant == voteDuringLease && (m.Kind == MsgPreVote || m.Kind == MsgVote) && n.core.role != leader:
		n.core.refuseVotesUntil = 0
	case sim.mutant == leaseFromReplyTime && m.Kind == MsgAppendReply && n.isLeader():
		m.Round = n.core.leaderState.rounds.last
	}
	n.core.Receive(n.localTime(sim.now), m)
	sim.processOutput(n)
}

// deliverDue delivers the messages that are due on unblocked links, in order.
func (sim *simulation) deliverDue() {
	due := sim.net
	sim.net = sim.netBuffer[:0]
	defer func() { sim.netBuffer = due }()
	for _, p := range due {
		n := sim.node(p.message.To)
		if sim.blocked[link{p.message.From, p.message.To}] || p.deliverAt > sim.now || (n != nil && n.paused) {
			sim.net = append(sim.net, p)
			continue
		}
		sim.receive(*p.message)
	}
}

// advanceTime advances the simulated time and ticks the nodes whose timers expired.
func (sim *simulation) advanceTime(d time.Duration) {
	sim.now += d
	for _, n := range sim.nodes {
		if n.running() && !n.localTime(sim.now).Before(n.core.NextWake()) {
			n.core.Tick(n.localTime(sim.now))
			sim.processOutput(n)
		}
	}
}

// run lets the cluster run for a number of time steps.
func (sim *simulation) run(steps int, step time.Duration) {
	for range steps {
		for range 3 {
			sim.deliverDue()
			sim.finishAllWrites()
		}
		sim.advanceTime(step)
	}
}

// runForRandomTime lets the cluster run for a random number of steps between two
// actions, or until a leader is elected if it draws -1.
func (sim *simulation) runForRandomTime() {
	step := choose(sim, []time.Duration{5, 20, 50}) * time.Millisecond
	switch steps := choose(sim, []int{0, 0, 0, 2, 20, 60, -1, -1}); steps {
	case -1:
		sim.runUntilElection()
	default:
		sim.run(steps, step)
	}
}

// runUntilElection lets the cluster run until a leader of a new term is seen, for at most 3 s.
func (sim *simulation) runUntilElection() {
	terms := len(sim.history.leaders)
	for range 150 {
		sim.deliverDue()
		if len(sim.history.leaders) > terms {
			return
		}
		sim.finishAllWrites()
		sim.advanceTime(20 * time.Millisecond)
	}
}

// finishAllWrites finishes one write on each running node without a slow disk.
func (sim *simulation) finishAllWrites() {
	for _, n := range sim.nodes {
		if n.running() && !n.slowDisk {
			sim.finishWrite(n)
		}
	}
}

// crash stops a process. A random part of its oldest unsynced batch is durable.
func (sim *simulation) crash(n *node) {
	if len(n.unsynced) > 0 {
		switch choose(sim, []string{"lost", "snapshot", "whole"}) {
		case "snapshot":
			n.write(sim, n.unsynced[0], false)
		case "whole":
			n.write(sim, n.unsynced[0], true)
		}
	}
	n.core, n.unsynced = nil, nil
}

// checkProgress heals the cluster and checks that it commits again, unless the voters of
// some replica's member set have lost their quorum permanently.
func (sim *simulation) checkProgress() {
	sim.heal()
	for _, n := range sim.nodes {
		if n.core == nil {
			continue
		}
		voters := n.core.members().Voters
		alive := slices.DeleteFunc(slices.Clone(voters), func(id ReplicaID) bool { return sim.node(id).lost })
		if len(voters) > 0 && len(alive) < majority(len(voters)) {
			return
		}
	}
	highest := sim.history.highestCommitted
	for range 400 {
		sim.run(1, 50*time.Millisecond)
		if sim.history.highestCommitted > highest {
			return
		}
		if n := sim.pickNode(func(n *node) bool { return n.isLeader() && n.core.term == sim.history.lastTerm }); n != nil {
			sim.propose(n)
		}
	}
	sim.t.Fatalf("no entry committed within 20 s after the last fault")
}
