package consensus

import (
	"encoding/binary"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// world is a cluster in memory: true time, a fake network, fake disks, and
// what the invariants have seen.
type world struct {
	t      *rapid.T
	mutant mutant
	seed   uint64
	now    time.Duration
	nodes  []*node
	net    []packet
	spare  []packet
	// blocked and delay describe the links by their direction.
	blocked map[link]bool
	delay   map[link]time.Duration
	seen    history
	reads   map[uint64]uint64
	nextID  int
	choices uint64
	packets uint64
	value   uint64
}

var yesOrNo = []bool{true, false}

// choose draws one of the values with equal odds; rapid prefers small numbers,
// so its draw is mixed with a count of the draws.
func choose[T any](w *world, values []T) T {
	w.choices++
	x := rapid.Uint64().Draw(w.t, "choice") + w.choices*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return values[(x^x>>31)%uint64(len(values))]
}

type link struct{ from, to NodeID }

type packet struct {
	id uint64
	at time.Duration
	m  *Message
}

const maxPackets = 150

func newWorld(t *rapid.T, m mutant) *world {
	w := &world{
		t: t, mutant: m, seed: rapid.Uint64().Draw(t, "seed"),
		blocked: map[link]bool{}, delay: map[link]time.Duration{},
		seen: newHistory(), reads: map[uint64]uint64{},
	}
	var boot Members
	for range choose(w, []int{3, 4, 5}) {
		boot.Voters = append(boot.Voters, w.newID())
	}
	for _, id := range boot.Voters {
		w.addNode(id, boot)
	}
	return w
}

func (w *world) newID() NodeID {
	w.nextID++
	return NodeID(rune('a' + w.nextID - 1))
}

func (w *world) addNode(id NodeID, members Members) *node {
	n := &node{id: id, members: members, rate: 1, clockAt: w.now, clockBase: time.Duration(len(w.nodes)) * time.Hour}
	w.nodes = append(w.nodes, n)
	n.start(w)
	return n
}

func (w *world) node(id NodeID) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// pick draws one of the nodes that satisfy ok; nil without any.
func (w *world) pick(ok func(*node) bool) *node {
	var found []*node
	for _, n := range w.nodes {
		if ok(n) {
			found = append(found, n)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return choose(w, found)
}

// drain carries out what the core says.
func (w *world) drain(n *node) {
	for {
		if w.mutant == leaseKeptInTransfer && n.leads() {
			n.core.lead.transfer.sent = false
		}
		out := n.core.Output()
		w.restore(n, out.Restore)
		for _, e := range out.Committed {
			n.apply(e)
			w.seen.commit(w.t, n, e)
		}
		for _, m := range out.Messages {
			l := link{m.From, m.To}
			w.packets++
			w.net = append(w.net, packet{id: w.packets, at: w.now + w.delay[l], m: &m})
		}
		for _, r := range out.Reads {
			w.answer(r)
		}
		if p := out.Persist; p != nil {
			w.seen.append(w.t, n, p.Entries)
			n.writing = append(n.writing, p)
			if w.mutant == ackedBeforeDurable {
				n.core.Persisted(n.local(w.now), p.Seq)
				continue
			}
		}
		break
	}
	if len(w.net) > maxPackets {
		w.net = w.net[len(w.net)-maxPackets:]
	}
	w.seen.check(w.t, w.nodes, w.now)
}

func (w *world) restore(n *node, s *Snapshot) {
	if s == nil {
		return
	}
	n.applied, n.state = s.Index, binary.LittleEndian.Uint64(s.Data)
	w.seen.restore(w.t, n, s)
}

func (w *world) answer(r ReadResult) {
	floor := w.reads[r.ID]
	delete(w.reads, r.ID)
	if !r.Failed && r.Index < floor {
		w.t.Fatalf("stale read: index %d, committed before it began: %d", r.Index, floor)
	}
}

func (w *world) read(n *node) {
	w.value++
	w.reads[w.value] = w.seen.highest
	if w.mutant == readWithoutRound && n.leads() {
		w.answer(ReadResult{ID: w.value, Index: n.core.commit})
		return
	}
	n.core.Read(n.local(w.now), w.value)
	w.drain(n)
}

func (w *world) propose(n *node) {
	w.value++
	if _, err := n.core.Propose(n.local(w.now), binary.AppendUvarint(nil, w.value)); err == nil {
		w.drain(n)
	}
}

// finishWrite makes the write under way durable and reports it.
func (w *world) finishWrite(n *node) {
	if len(n.writing) == 0 {
		return
	}
	p := n.writing[0]
	n.writing = n.writing[1:]
	n.write(w, p, true)
	n.core.Persisted(n.local(w.now), p.Seq)
	w.drain(n)
}

func (w *world) receive(m Message) {
	n := w.node(m.To)
	if n == nil || !n.running() {
		return
	}
	switch {
	case w.mutant == voteWhileLed && (m.Kind == MsgPreVote || m.Kind == MsgVote) && n.core.role != leader:
		n.core.refuseVotesUntil = 0
	case w.mutant == leaseFromReply && m.Kind == MsgAppendReply && n.leads():
		m.Round = n.core.lead.rounds.last
	}
	n.core.Receive(n.local(w.now), m)
	w.drain(n)
}

// deliverDue delivers the messages that are due on open links, in order.
func (w *world) deliverDue() {
	due := w.net
	w.net = w.spare[:0]
	defer func() { w.spare = due }()
	for _, p := range due {
		n := w.node(p.m.To)
		if w.blocked[link{p.m.From, p.m.To}] || p.at > w.now || (n != nil && n.paused) {
			w.net = append(w.net, p)
			continue
		}
		w.receive(*p.m)
	}
}

// advance moves true time and ticks the nodes that are due.
func (w *world) advance(d time.Duration) {
	w.now += d
	for _, n := range w.nodes {
		if n.running() && !n.local(w.now).Before(n.core.NextWake()) {
			n.core.Tick(n.local(w.now))
			w.drain(n)
		}
	}
}

// run lets the cluster work for some steps of time.
func (w *world) run(steps int, step time.Duration) {
	for range steps {
		for range 3 {
			w.deliverDue()
			w.writeAll()
		}
		w.advance(step)
	}
}

// work lets the cluster go on for a drawn time between two actions.
func (w *world) work() {
	step := choose(w, []time.Duration{5, 20, 50}) * time.Millisecond
	switch steps := choose(w, []int{0, 0, 0, 2, 20, 60, -1, -1}); steps {
	case -1:
		w.elect()
	default:
		w.run(steps, step)
	}
}

// elect lets the cluster work until another term has a leader.
func (w *world) elect() {
	terms := len(w.seen.leaders)
	for range 150 {
		w.deliverDue()
		if len(w.seen.leaders) > terms {
			return
		}
		w.writeAll()
		w.advance(20 * time.Millisecond)
	}
}

func (w *world) writeAll() {
	for _, n := range w.nodes {
		if n.running() && !n.slowDisk {
			w.finishWrite(n)
		}
	}
}

// stop ends a process. How much of the write under way got to the disk is drawn.
func (w *world) stop(n *node) {
	if len(n.writing) > 0 {
		switch choose(w, []string{"lost", "snapshot", "whole"}) {
		case "snapshot":
			n.write(w, n.writing[0], false)
		case "whole":
			n.write(w, n.writing[0], true)
		}
	}
	n.core, n.writing = nil, nil
}

// mustProgress checks that a cluster whose faults have ended commits again, as
// long as no replica's set of voters lost its quorum for good.
func (w *world) mustProgress() {
	w.recover()
	for _, n := range w.nodes {
		if n.core == nil {
			continue
		}
		voters := n.core.members().Voters
		alive := slices.DeleteFunc(slices.Clone(voters), func(id NodeID) bool { return w.node(id).lost })
		if len(voters) > 0 && len(alive) < majority(len(voters)) {
			return
		}
	}
	highest := w.seen.highest
	for range 400 {
		w.run(1, 50*time.Millisecond)
		if w.seen.highest > highest {
			return
		}
		if n := w.pick(func(n *node) bool { return n.leads() && n.core.term == w.seen.lastTerm }); n != nil {
			w.propose(n)
		}
	}
	w.t.Fatalf("no progress within 20 s after the last fault")
}
