package consensus

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// suspend stops a node and its clock.
func (n *node) suspend(now time.Duration) {
	n.setRate(now, 0)
	n.paused = true
}

func (n *node) resume(now time.Duration) {
	n.paused = false
	n.setRate(now, 1)
}

// TestReadOfASuspendedLeaderIsNotStale guards against a leader that was suspended with its
// clock and answers reads by a lease that lasts as long on that clock, although another
// leader has committed entries since.
func TestReadOfASuspendedLeaderIsNotStale(t *testing.T) {
	checkProperty(t, t, *seed, 40, func(t *rapid.T) {
		sim := newSimulation(t, none)
		sim.history.leasesOverlap = true
		sim.run(60, 50*time.Millisecond)
		old := sim.pickNode((*node).isLeader)
		old.suspend(sim.now)
		others := func(n *node) bool { return n != old && n.isLeader() }
		for range 10 {
			sim.run(60, 50*time.Millisecond)
			if slices.ContainsFunc(sim.nodes, others) {
				break
			}
		}
		next := sim.pickNode(others)
		if next == nil {
			t.Fatal("no leader 30 s after the suspension of the last one")
		}
		sim.propose(next)
		sim.run(2, 20*time.Millisecond)
		old.resume(sim.now)
		// The request arrives before any message of the other replicas.
		sim.read(old)
		sim.run(20, 20*time.Millisecond)
		if len(sim.readMinIndex) > 0 {
			t.Fatal("the read was not answered")
		}
	})
}

// TestReadsBesideSuspensions draws the actions of TestCluster and suspensions.
func TestReadsBesideSuspensions(t *testing.T) {
	checkProperty(t, t, *seed, *runs/2, func(t *rapid.T) {
		sim := newSimulation(t, none)
		sim.history.leasesOverlap = true
		sim.run(60, 50*time.Millisecond)
		actions := sim.actions()
		for range actionsPerRun {
			if n := sim.pickNode(func(n *node) bool { return n.isLeader() && n.running() }); n != nil && choose(sim, bools) {
				n.suspend(sim.now)
				sim.runUntilElection()
				sim.runForRandomTime()
				n.resume(sim.now)
				sim.read(n)
			}
			choose(sim, actions)()
			sim.runForRandomTime()
		}
		sim.checkProgress()
	})
}
