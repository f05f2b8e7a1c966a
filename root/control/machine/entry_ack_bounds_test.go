package machine_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// logGrowth returns by how many entries the log of the leader grows while one version is
// acknowledged and for a second afterwards.
func (sim *openSimulation) logGrowth(leader, at *node) uint64 {
	before := leader.m.LastIndex()
	sim.acknowledgeRoutes(at)
	sim.runFor(time.Second)
	return leader.m.LastIndex() - before
}

// TestAwaitedEntryCausesNoSecondLogEntry guards against a proposal that is committed again,
// because its answer leaves when the proposer sends it again.
func TestAwaitedEntryCausesNoSecondLogEntry(t *testing.T) {
	c := qt.New(t)
	twice, tried := 0, 0
	for seed := uint64(1); seed <= 20; seed++ {
		sim := newOpenSimulation(seed, machine.RuleNone)
		sim.lossless = true
		sim.trackAcks()
		sim.runFor(rejoinTime)
		leader := sim.waitForLiveLeader()
		others := sim.otherReplicas(leader)
		entry := sim.nodes[slices.IndexFunc(sim.nodes, isEntryOnly)]
		sim.losePower(entry)
		tried++
		if sim.logGrowth(leader, others[0]) > 1 {
			twice++
		}
	}
	c.Check(twice, qt.Equals, 0, qt.Commentf("of %d changes", tried))
}

// TestLargeFleetCausesNoSecondLogEntry is the same without a lost entry.
func TestLargeFleetCausesNoSecondLogEntry(t *testing.T) {
	c := qt.New(t)
	twice, tried := 0, 0
	for seed := uint64(1); seed <= 3; seed++ {
		sim := newOpenSimulation(seed, machine.RuleNone)
		sim.lossless = true
		for range 100 {
			sim.addNode(false).start()
		}
		sim.trackAcks()
		sim.runFor(rejoinTime)
		leader := sim.waitForLiveLeader()
		others := sim.otherReplicas(leader)
		for range 4 {
			tried++
			if sim.logGrowth(leader, others[0]) > 1 {
				twice++
			}
			sim.runFor(time.Duration(sim.rng.Int64N(int64(500 * time.Millisecond))))
		}
	}
	c.Check(twice, qt.Equals, 0, qt.Commentf("of %d changes", tried))
}

// TestLostLeaderLeavesNoEntryWithADrainedServer guards against entries that keep sending
// requests to a server whose drain an operator has been told is set.
func TestLostLeaderLeavesNoEntryWithADrainedServer(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 5; seed++ {
		sim := newOpenSimulation(seed, machine.RuleNone)
		sim.lossless = true
		sim.announceState(sim.nodes[0], 1, fleet.Active)
		sim.runFor(2 * time.Second)
		c.Assert(sim.allShow(fleet.Active), qt.IsTrue)
		leader := sim.waitForLiveLeader()
		others := sim.otherReplicas(leader)
		at, acked := others[0], false
		sim.onAnswer = func(n *node, a machine.Answer) { acked = acked || n == at && a.Result.Err == nil }
		at.nextID++
		at.step(machine.Submit{ID: at.nextID, Command: replicated.SetDrain{ID: engineID, Draining: true, Operator: "o"}})
		for !acked {
			sim.advance()
		}
		sim.losePower(leader, others[1], others[2])
		sim.runFor(5 * time.Second)
		sim.checkNoEntryShowsTheEngine()
		c.Check(sim.violation, qt.Equals, "", qt.Commentf("seed %d", seed))
	}
}

// TestRestartedLeaderAwaitsEntries guards against changes that a leader without a view
// acknowledges before it knows any entry.
func TestRestartedLeaderAwaitsEntries(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 20; seed++ {
		sim := newOpenSimulation(seed, machine.RuleNone)
		sim.lossless = true
		sim.trackAcks()
		sim.runFor(rejoinTime)
		sim.acknowledgeRoutes(sim.waitForLiveLeader())
		sim.runFor(time.Second)
		sim.losePower(sim.upReplicas()...)
		sim.runFor(500 * time.Millisecond)
		for _, n := range sim.nodes {
			if n.replica {
				n.start()
			}
		}
		leader := sim.waitForLiveLeader()
		sim.acknowledgeRoutes(leader)
		lacking := 0
		for _, n := range sim.nodes {
			if isEntryOnly(n) && n.view.Routes.Version < sim.ackedVersion {
				lacking++
			}
		}
		if lacking > 0 {
			sim.fail("%d entries lack version %d when it is acknowledged", lacking, sim.ackedVersion)
		}
		c.Check(sim.violation, qt.Equals, "", qt.Commentf("seed %d", seed))
	}
}

// TestSlowCommitStillAwaitsEntries guards against changes that are acknowledged without an
// entry, because the commit took as long as the answer may wait.
func TestSlowCommitStillAwaitsEntries(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 20; seed++ {
		sim := newOpenSimulation(seed, machine.RuleNone)
		sim.lossless = true
		sim.trackAcks()
		sim.runFor(rejoinTime)
		leader := sim.waitForLiveLeader()
		others := sim.otherReplicas(leader)
		sim.acknowledgeRoutes(leader)
		sim.runFor(time.Second)
		for _, n := range sim.nodes {
			n.diskFullUntil = sim.now.Add(420 * time.Millisecond)
		}
		sim.acknowledgeRoutes(leader)
		sim.losePower(leader, others[1], others[2])
		sim.runFor(5 * time.Second)
		sim.checkEntriesHaveRoutes()
		c.Check(sim.violation, qt.Equals, "", qt.Commentf("seed %d", seed))
	}
}
