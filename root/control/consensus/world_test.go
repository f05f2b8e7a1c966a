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

// isolate heals all links, then cuts one node off.
func (w *world) isolate(cutOff *node) {
	clear(w.blocked)
	for _, n := range w.nodes {
		w.blocked[link{n.id, cutOff.id}], w.blocked[link{cutOff.id, n.id}] = true, true
	}
}

// recover starts and resumes all nodes and heals all links.
func (w *world) recover() {
	clear(w.blocked)
	clear(w.delay)
	for _, n := range w.nodes {
		n.paused, n.slowDisk = false, false
		if n.core == nil && !n.lost {
			n.start(w)
		}
	}
}

// changeLinks draws a delay or a cut for what one node sends or receives.
func (w *world) changeLinks(n *node) {
	delay := choose(w, []time.Duration{0, 10, 300, 900}) * time.Millisecond
	cut, sends := choose(w, yesOrNo), choose(w, yesOrNo)
	for _, other := range w.nodes {
		l := link{n.id, other.id}
		if !sends {
			l = link{other.id, n.id}
		}
		w.delay[l], w.blocked[l] = delay, cut
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

// changeMembers draws a change at a leader.
func (w *world) changeMembers(n *node) {
	m := n.core.Status().Members
	switch choose(w, []string{"learner", "promote", "remove"}) {
	case "learner":
		fresh := w.pick(func(x *node) bool {
			return x.running() && !m.isVoter(x.id) && !m.isLearner(x.id) && len(x.members.Voters) == 0
		})
		if fresh == nil {
			return
		}
		m.Learners = append(m.Learners, fresh.id)
	case "promote":
		if len(m.Learners) == 0 || len(m.Voters) > 5 {
			return
		}
		m.Voters, m.Learners = append(m.Voters, m.Learners[0]), m.Learners[1:]
	case "remove":
		if len(m.Voters) < 3 {
			return
		}
		out := w.pick(func(x *node) bool { return m.isVoter(x.id) })
		m.Voters = slices.DeleteFunc(m.Voters, func(id NodeID) bool { return id == out.id })
	}
	if n.core.ChangeMembers(n.local(w.now), m) == nil {
		w.drain(n)
	}
}

// maySurviveLoss reports whether no voter of any replica's set is lost already.
func (w *world) maySurviveLoss() bool {
	for _, n := range w.nodes {
		if n.core == nil {
			continue
		}
		for _, id := range n.core.members().Voters {
			if w.node(id).lost {
				return false
			}
		}
	}
	return true
}

// coups elects leaders and cuts each off before its first entries are everywhere.
func (w *world) coups() {
	for range choose(w, []int{1, 5}) {
		w.elect()
		for range choose(w, []int{0, 0, 2, 3, 4}) {
			w.deliverDue()
			w.writeAll()
		}
		if n := w.pick(func(n *node) bool { return n.leads() && n.core.term == w.seen.lastTerm }); n != nil {
			w.isolate(n)
		}
	}
}

// relieve cuts a follower off for a while and then the leader instead, while
// another follower may restart.
func (w *world) relieve() {
	leads := func(n *node) bool { return n.leads() && n.running() }
	follows := func(n *node) bool { return !n.leads() && n.running() }
	first, old := w.pick(follows), w.pick(leads)
	if first == nil || old == nil {
		return
	}
	w.isolate(first)
	w.run(choose(w, []int{20, 30, 40}), 50*time.Millisecond)
	w.isolate(old)
	if n := w.pick(func(n *node) bool { return follows(n) && n != first }); n != nil && choose(w, yesOrNo) {
		w.stop(n)
		n.start(w)
	}
	w.run(30, 20*time.Millisecond)
}

// mute delays what a leader hears and then cuts what it says.
func (w *world) mute(n *node) {
	for _, other := range w.nodes {
		w.delay[link{other.id, n.id}] = choose(w, []time.Duration{300, 600}) * time.Millisecond
	}
	w.run(16, 50*time.Millisecond)
	for _, other := range w.nodes {
		w.blocked[link{n.id, other.id}] = true
	}
	w.run(60, 20*time.Millisecond)
}

// powerCut stops everything at once and starts it again.
func (w *world) powerCut() {
	for _, n := range w.nodes {
		if n.core != nil {
			w.stop(n)
		}
	}
	w.recover()
}

// loseDisk ends an identity for good; its VM returns as a learner under a new one.
func (w *world) loseDisk(n *node) {
	n.core, n.writing, n.disk = nil, nil, Restored{}
	if w.mutant == sameIdentity {
		n.start(w)
		return
	}
	n.lost = true
	w.addNode(w.newID(), Members{})
}
