package machine_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// losePower ends a node together with all messages that it has sent and that have not
// arrived.
func (sim *simulation) losePower(n *node) {
	n.crash()
	sim.packets = slices.DeleteFunc(sim.packets, func(p packet) bool { return p.from == n.id })
}

// acknowledgeRoutes proposes the next version at the given node until it is acknowledged
// there.
func (sim *openSimulation) acknowledgeRoutes(at *node) {
	sim.lastVersion++
	version := sim.lastVersion
	for end := sim.now.Add(5 * time.Second); sim.ackedVersion < version && sim.now.Before(end); {
		sim.submitRoutes(at, version)
		for retry := sim.now.Add(time.Second); sim.ackedVersion < version && sim.now.Before(retry); {
			sim.advance()
		}
	}
	if sim.ackedVersion < version {
		sim.fail("version %d was not acknowledged", version)
	}
}

// TestLostLeaderLeavesNoEntryOnOlderRoutes guards against entries that keep serving by an
// older version of the routes, because the leader lost power right after the newer one was
// acknowledged and no other leader reaches them.
func TestLostLeaderLeavesNoEntryOnOlderRoutes(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 20; seed++ {
		sim := newOpenSimulation(seed, machine.RuleNone)
		sim.lossless = true
		sim.trackAcks()
		sim.runFor(rejoinTime)
		leader := sim.waitForLiveLeader()
		others := slices.DeleteFunc(slices.Clone(sim.nodes), func(n *node) bool { return n == leader || !n.replica })
		for range 3 {
			sim.acknowledgeRoutes(others[0])
			sim.runFor(time.Second)
		}
		sim.acknowledgeRoutes(others[0])
		sim.losePower(leader)
		sim.losePower(others[1])
		sim.losePower(others[2])
		sim.runFor(5 * time.Second)
		for _, n := range sim.nodes {
			if isEntryOnly(n) && n.view.Routes.Version < sim.ackedVersion {
				sim.fail("%s has version %d, but version %d was acknowledged", n.id, n.view.Routes.Version, sim.ackedVersion)
			}
		}
		c.Check(sim.violation, qt.Equals, "", qt.Commentf("seed %d", seed))
	}
}
