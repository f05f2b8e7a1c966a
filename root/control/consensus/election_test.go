package consensus

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestEqualElectionTimersElectALeader guards against split votes: without the leader, the
// timers of all others expire at the same moment.
func TestEqualElectionTimersElectALeader(t *testing.T) {
	checkProperty(t, t, *seed, 40, func(t *rapid.T) {
		sim := newSimulation(t, none)
		sim.run(60, 50*time.Millisecond)
		sim.crash(sim.pickNode((*node).isLeader))
		sim.net = nil
		for _, n := range sim.nodes {
			if n.running() {
				n.core.electionDeadline = n.core.now + 2*electionTimeout
			}
		}
		sim.run(int((2*electionTimeout+electionTimeout/2)/(20*time.Millisecond)), 20*time.Millisecond)
		if sim.pickNode((*node).isLeader) == nil {
			t.Fatal("no leader half an election timeout after the timers expired")
		}
	})
}
