package machine_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// replacementInterval is the time between two losses. Each successor has catchUpTime of it
// to become a voter, less the second after which it starts.
const (
	replacementInterval = 8 * time.Second
	successorDelay      = time.Second
	catchUpTime         = 4 * time.Second
)

// replace ends a node for good and starts a successor with an empty disk.
func (sim *openSimulation) replace(n *node) {
	sim.loseDisk(n)
	sim.runFor(successorDelay)
	sim.addReplica().start()
}

// TestReplacedLeadersLeaveAQuorum guards against a core that has no quorum any more because
// its voters include replicas that are gone: five replicas, of which the leader is replaced
// four times.
func TestReplacedLeadersLeaveAQuorum(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 10; seed++ {
		sim := newOpenSimulation(seed, machine.RuleNone)
		sim.trackAcks()
		sim.runFor(rejoinTime)
		for range 4 {
			sim.proposeRoutes()
			sim.replace(sim.waitForLiveLeader())
			sim.runFor(replacementInterval - successorDelay)
		}
		sim.runFor(catchUpTime)
		sim.checkFinalState()
		c.Assert(sim.violation, qt.Equals, "", qt.Commentf("seed %d", seed))
	}
}

// TestReplacedReplicaOfThreeLeavesAQuorum guards against a core of three in which a replaced
// replica still counts when another one loses its disk.
func TestReplacedReplicaOfThreeLeavesAQuorum(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 10; seed++ {
		sim := newOpenSimulation(seed, machine.RuleNone)
		sim.trackAcks()
		for _, n := range sim.nodes[replicas+entryOnlyNodes:] {
			n.crash()
		}
		sim.runFor(2 * sim.waitForLiveLeader().m.Timing().ReplicaRemoveAfter)
		c.Assert(sim.waitForLiveLeader().m.Members().Voters, qt.HasLen, 3)
		sim.replace(sim.nodes[2])
		sim.runFor(catchUpTime)
		sim.proposeRoutes()
		sim.runFor(time.Second)
		sim.loseDisk(sim.nodes[0])
		sim.nodes[0].start()
		sim.runFor(rejoinTime)
		sim.checkFinalState()
		c.Assert(sim.violation, qt.Equals, "", qt.Commentf("seed %d", seed))
	}
}

// TestVotersAreNotAddedToSilentOnes checks at each moment of a replacement that the voters
// never become more while one of them is gone.
func TestVotersAreNotAddedToSilentOnes(t *testing.T) {
	c := qt.New(t)
	sim := newOpenSimulation(1, machine.RuleNone)
	sim.runFor(rejoinTime)
	lost := sim.waitForLiveLeader()
	gone := lost.identity
	sim.replace(lost)
	for end := sim.now.Add(catchUpTime); sim.now.Before(end); {
		sim.advance()
		for _, n := range sim.nodes {
			if !n.down && n.replica && slices.Contains(n.m.Members().Voters, gone) {
				c.Assert(len(n.m.Members().Voters) <= 5, qt.IsTrue)
			}
		}
	}
	voters := sim.waitForLiveLeader().m.Members().Voters
	c.Assert(voters, qt.HasLen, 5)
	c.Assert(slices.Contains(voters, sim.nodes[len(sim.nodes)-1].identity), qt.IsTrue)
}

// TestLearnerJoinsWithoutFurtherRenews guards against a successor that stays a learner, with
// one voter fewer, until its next Renew reaches the leader.
func TestLearnerJoinsWithoutFurtherRenews(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 10; seed++ {
		sim := newOpenSimulation(seed, machine.RuleNone)
		sim.runFor(rejoinTime)
		sim.replace(sim.waitForLiveLeader())
		successor := sim.nodes[len(sim.nodes)-1]
		started := sim.now
		leader := sim.waitForLiveLeader()
		for !slices.Contains(leader.m.Members().Learners, successor.identity) {
			c.Assert(sim.now.Sub(started) < catchUpTime, qt.IsTrue, qt.Commentf("seed %d: no learner", seed))
			sim.advance()
		}
		sim.dropRenewsOf = successor
		sim.runFor(started.Add(catchUpTime).Sub(sim.now))
		voters := leader.m.Members().Voters
		c.Assert(slices.Contains(voters, successor.identity), qt.IsTrue, qt.Commentf("seed %d: voters %v", seed, voters))
		c.Assert(voters, qt.HasLen, 5)
	}
}
