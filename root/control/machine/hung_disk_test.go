package machine_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

const (
	// hangTime is how long a disk hangs, and electionBound the time in which the other
	// replicas must elect a leader that commits.
	hangTime      = 12 * time.Second
	electionBound = 3 * time.Second
	hungDiskSeeds = 100
	// slowSyncTime is below the shortest election timeout, and recoveryBound the time in
	// which service must be back after disruptions of several replicas.
	slowSyncTime  = 500 * time.Millisecond
	recoveryBound = 12 * time.Second
	slowDiskSeeds = 20
)

// followerWithHungDisk makes the disk of a random follower hang.
func (sim *openSimulation) followerWithHungDisk() (leader, hung *node) {
	leader = sim.waitForLiveLeader()
	followers := slices.DeleteFunc(slices.Clone(sim.nodes), func(n *node) bool { return n == leader || !n.replica || n.down })
	hung = followers[sim.rng.IntN(len(followers))]
	hung.diskFullUntil = sim.now.Add(hangTime)
	return leader, hung
}

// checkNextLeader checks that a leader commits within electionBound, and returns it.
func (sim *openSimulation) checkNextLeader(c *qt.C, seed uint64) (next *node) {
	leads := func(n *node) bool { return !n.down && n.replica && n.m.Leads() }
	for until := sim.now.Add(electionBound); !slices.ContainsFunc(sim.nodes, leads) && sim.now.Before(until); {
		sim.advance()
	}
	i := slices.IndexFunc(sim.nodes, leads)
	if !c.Check(i >= 0, qt.IsTrue, qt.Commentf("seed %d: no leader within %v", seed, electionBound)) {
		return nil
	}
	return sim.nodes[i]
}

// checkStillLeads checks that a leader still leads once the disk works again.
func (sim *openSimulation) checkStillLeads(c *qt.C, seed uint64, leader, hung *node) {
	if leader == nil {
		return
	}
	sim.runFor(hung.diskFullUntil.Sub(sim.now) + time.Second)
	c.Check(leader.m.Leads(), qt.IsTrue, qt.Commentf("seed %d: the leader lost its leadership", seed))
	c.Assert(sim.violation, qt.Equals, "")
}

// TestHungDiskDoesNotHoldUpElections guards against a replica whose disk hangs and that
// keeps the others from electing a leader: it wins each pre-vote, never sends a request for
// votes, and moves to a later term each time.
func TestHungDiskDoesNotHoldUpElections(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= hungDiskSeeds; seed++ {
		sim := newOpenSimulation(seed, machine.RuleNone)
		sim.runFor(rejoinTime)
		leader, hung := sim.followerWithHungDisk()
		leader.crash()
		sim.checkStillLeads(c, seed, sim.checkNextLeader(c, seed), hung)
	}
}

// TestHungDiskDoesNotHoldUpAColdStart is like the test above, for a core of three whose
// processes were all killed.
func TestHungDiskDoesNotHoldUpAColdStart(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= hungDiskSeeds; seed++ {
		sim, _ := coldStartWithHungDisk(c, seed)
		sim.checkNextLeader(c, seed)
	}
}

// TestReturningDiskDeposesNoLeader guards against a leader of a cold start that loses its
// leadership to the replica whose disk hung.
func TestReturningDiskDeposesNoLeader(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= hungDiskSeeds; seed++ {
		sim, hung := coldStartWithHungDisk(c, seed)
		sim.checkStillLeads(c, seed, sim.checkNextLeader(c, seed), hung)
	}
}

// coldStartWithHungDisk starts three replicas that were all killed. The disk of one hangs.
func coldStartWithHungDisk(c *qt.C, seed uint64) (sim *openSimulation, hung *node) {
	sim = newOpenSimulation(seed, machine.RuleNone)
	for _, n := range sim.nodes[replicas+entryOnlyNodes:] {
		n.crash()
	}
	sim.runFor(2 * sim.waitForLiveLeader().m.Timing().ReplicaRemoveAfter)
	c.Assert(sim.waitForLiveLeader().m.Members().Voters, qt.HasLen, replicas)
	_, hung = sim.followerWithHungDisk()
	for _, n := range sim.nodes[:replicas] {
		n.crash()
	}
	sim.runFor(500 * time.Millisecond)
	for _, n := range sim.nodes[:replicas] {
		n.start()
	}
	return sim, hung
}

// TestSlowDisksElectALeader guards against elections that never end on slow disks, since
// candidates start the next one before the voters have written their votes.
func TestSlowDisksElectALeader(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= slowDiskSeeds; seed++ {
		sim := newOpenSimulation(seed, machine.RuleNone)
		sim.runFor(rejoinTime)
		sim.lossless = true
		for _, n := range sim.nodes {
			n.syncTime = slowSyncTime
		}
		sim.runFor(time.Second)
		sim.waitForLiveLeader().crash()
		leads := func(n *node) bool { return !n.down && n.replica && n.m.Leads() }
		for until := sim.now.Add(recoveryBound); !slices.ContainsFunc(sim.nodes, leads) && sim.now.Before(until); {
			sim.advance()
		}
		c.Check(slices.ContainsFunc(sim.nodes, leads), qt.IsTrue, qt.Commentf("seed %d: no leader within %v", seed, recoveryBound))
	}
}
