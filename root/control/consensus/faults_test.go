package consensus

import (
	"slices"
	"time"
)

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

// replace takes a voter out for a new identity: learner, promotion, removal.
func (w *world) replace(out *node) {
	fresh := w.addNode(w.newID(), Members{})
	for step := range 3 {
		w.run(choose(w, []int{2, 20, 40}), 20*time.Millisecond)
		n := w.pick(func(n *node) bool { return n.leads() && n.running() })
		if n == nil {
			return
		}
		m := n.core.Status().Members
		switch step {
		case 0:
			m.Learners = append(m.Learners, fresh.id)
		case 1:
			m.Learners = slices.DeleteFunc(m.Learners, func(id NodeID) bool { return id == fresh.id })
			m.Voters = append(m.Voters, fresh.id)
		case 2:
			m.Voters = slices.DeleteFunc(m.Voters, func(id NodeID) bool { return id == out.id })
		}
		if n.core.ChangeMembers(n.local(w.now), m) == nil {
			w.drain(n)
		}
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

// herdRestart restarts all replicas but one at the same moment.
func (w *world) herdRestart() {
	spared := w.pick((*node).running)
	for _, n := range w.nodes {
		if n != spared && n.running() {
			w.stop(n)
			n.start(w)
		}
	}
	w.run(choose(w, []int{5, 20, 40}), 20*time.Millisecond)
}

// loseDisk ends an identity for good; its VM returns as a learner under a new one.
func (w *world) loseDisk(n *node) {
	n.core, n.writing, n.disk, n.logStart = nil, nil, Restored{}, position{}
	if w.mutant == sameIdentity {
		n.start(w)
		return
	}
	n.lost = true
	w.addNode(w.newID(), Members{})
}
