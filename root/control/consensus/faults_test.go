package consensus

import (
	"slices"
	"time"
)

// isolate unblocks all links and then partitions one node from the others.
func (sim *simulation) isolate(isolated *node) {
	clear(sim.blocked)
	for _, n := range sim.nodes {
		sim.blocked[link{n.id, isolated.id}], sim.blocked[link{isolated.id, n.id}] = true, true
	}
}

// heal starts and resumes all nodes, except those that lost their disk, and ends slow
// disks, link delays and partitions. It leaves clock rates unchanged.
func (sim *simulation) heal() {
	clear(sim.blocked)
	clear(sim.delay)
	for _, n := range sim.nodes {
		n.paused, n.slowDisk = false, false
		if n.core == nil && !n.lost {
			n.restart(sim)
		}
	}
}

// changeLinks draws a delay and a one-way partition for all messages that a node
// sends, or for all that it receives.
func (sim *simulation) changeLinks(n *node) {
	delay := choose(sim, []time.Duration{0, 10, 300, 900}) * time.Millisecond
	block, outgoing := choose(sim, bools), choose(sim, bools)
	for _, other := range sim.nodes {
		l := link{n.id, other.id}
		if !outgoing {
			l = link{other.id, n.id}
		}
		sim.delay[l], sim.blocked[l] = delay, block
	}
}

// changeMembers proposes a random membership change to a leader.
func (sim *simulation) changeMembers(n *node) {
	m := n.core.Status().Members
	switch choose(sim, []string{"learner", "promote", "remove"}) {
	case "learner":
		added := sim.pickNode(func(x *node) bool {
			return x.running() && !m.isVoter(x.id) && !m.isLearner(x.id) && len(x.members.Voters) == 0
		})
		if added == nil {
			return
		}
		m.Learners = append(m.Learners, added.id)
	case "promote":
		if len(m.Learners) == 0 || len(m.Voters) > 5 {
			return
		}
		m.Voters, m.Learners = append(m.Voters, m.Learners[0]), m.Learners[1:]
	case "remove":
		if len(m.Voters) < 3 {
			return
		}
		removed := sim.pickNode(func(x *node) bool { return m.isVoter(x.id) })
		m.Voters = slices.DeleteFunc(m.Voters, func(id ReplicaID) bool { return id == removed.id })
	}
	if n.core.ChangeMembers(n.localTime(sim.now), m) == nil {
		sim.processOutput(n)
	}
}

// replaceVoter adds a replica, which joins as a learner and is promoted to voter, and then
// removes the given one from the voters, if it is a voter.
func (sim *simulation) replaceVoter(removed *node) {
	added := sim.addNode(sim.newID(), Members{})
	for step := range 3 {
		sim.run(choose(sim, []int{2, 20, 40}), 20*time.Millisecond)
		n := sim.pickNode(func(n *node) bool { return n.isLeader() && n.running() })
		if n == nil {
			return
		}
		m := n.core.Status().Members
		switch step {
		case 0:
			m.Learners = append(m.Learners, added.id)
		case 1:
			m.Learners = slices.DeleteFunc(m.Learners, func(id ReplicaID) bool { return id == added.id })
			m.Voters = append(m.Voters, added.id)
		case 2:
			m.Voters = slices.DeleteFunc(m.Voters, func(id ReplicaID) bool { return id == removed.id })
		}
		if n.core.ChangeMembers(n.localTime(sim.now), m) == nil {
			sim.processOutput(n)
		}
	}
}

// noVoterLost reports whether all voters of all replicas' member sets still have their
// disks.
func (sim *simulation) noVoterLost() bool {
	for _, n := range sim.nodes {
		if n.core == nil {
			continue
		}
		for _, id := range n.core.members().Voters {
			if sim.node(id).lost {
				return false
			}
		}
	}
	return true
}

// isolateNewLeaders isolates each of a series of new leaders before its first entries are
// replicated to all followers.
func (sim *simulation) isolateNewLeaders() {
	for range choose(sim, []int{1, 5}) {
		sim.runUntilElection()
		for range choose(sim, []int{0, 0, 2, 3, 4}) {
			sim.deliverDue()
			sim.finishAllWrites()
		}
		if n := sim.pickNode(func(n *node) bool { return n.isLeader() && n.core.term == sim.history.lastTerm }); n != nil {
			sim.isolate(n)
		}
	}
}

// isolateFollowerThenLeader isolates a follower for a while and then the leader instead,
// while another follower may restart.
func (sim *simulation) isolateFollowerThenLeader() {
	isLeader := func(n *node) bool { return n.isLeader() && n.running() }
	isFollower := func(n *node) bool { return !n.isLeader() && n.running() }
	isolated, oldLeader := sim.pickNode(isFollower), sim.pickNode(isLeader)
	if isolated == nil || oldLeader == nil {
		return
	}
	sim.isolate(isolated)
	sim.run(choose(sim, []int{20, 30, 40}), 50*time.Millisecond)
	sim.isolate(oldLeader)
	if n := sim.pickNode(func(n *node) bool { return isFollower(n) && n != isolated }); n != nil && choose(sim, bools) {
		sim.crash(n)
		n.restart(sim)
	}
	sim.run(30, 20*time.Millisecond)
}

// delayThenBlockLeader delays the messages to a leader and later blocks those from it, so that
// it still receives acknowledgements when its followers no longer hear from it.
func (sim *simulation) delayThenBlockLeader(n *node) {
	for _, other := range sim.nodes {
		sim.delay[link{other.id, n.id}] = choose(sim, []time.Duration{300, 600}) * time.Millisecond
	}
	sim.run(16, 50*time.Millisecond)
	for _, other := range sim.nodes {
		sim.blocked[link{n.id, other.id}] = true
	}
	sim.run(60, 20*time.Millisecond)
}

// restartAll crashes all processes at once and restarts them, as in a power failure.
func (sim *simulation) restartAll() {
	for _, n := range sim.nodes {
		if n.core != nil {
			sim.crash(n)
		}
	}
	sim.heal()
}

// restartAllButOne restarts all replicas except one at the same time.
func (sim *simulation) restartAllButOne() {
	excluded := sim.pickNode((*node).running)
	for _, n := range sim.nodes {
		if n != excluded && n.running() {
			sim.crash(n)
			n.restart(sim)
		}
	}
	sim.run(choose(sim, []int{5, 20, 40}), 20*time.Millisecond)
}

// loseDisk removes a replica permanently. Its VM returns as a new replica, which can
// join as a learner.
func (sim *simulation) loseDisk(n *node) {
	n.core, n.unsynced, n.disk, n.logStart = nil, nil, DurableState{}, position{}
	if sim.mutant == identityReused {
		n.restart(sim)
		return
	}
	n.lost = true
	sim.addNode(sim.newID(), Members{})
}
