package machine_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// TestHubIsElected guards against elections that fail because the only replica that reaches a
// quorum yields to those that reach none.
func TestHubIsElected(t *testing.T) {
	c := qt.New(t)
	var late []uint64
	for seed := uint64(1); seed <= 200; seed++ {
		sim := newOpenSimulation(seed, machine.RuleNone)
		sim.lossless = true
		sim.runFor(rejoinTime)
		leader := sim.waitForLiveLeader()
		up := slices.DeleteFunc(slices.Clone(sim.nodes), func(n *node) bool { return n == leader || !n.replica })
		leader.crash()
		up[0].crash()
		a, b := up[1].id, up[2].id
		sim.blocked[[2]string{a, b}], sim.blocked[[2]string{b, a}] = true, true
		leads := func(n *node) bool { return !n.down && n.replica && n.m.Leads() }
		for until := sim.now.Add(electionBound); !slices.ContainsFunc(sim.nodes, leads) && sim.now.Before(until); {
			sim.advance()
		}
		if !slices.ContainsFunc(sim.nodes, leads) {
			late = append(late, seed)
		}
	}
	c.Check(len(late), qt.Equals, 0, qt.Commentf("late seeds %v", late))
}
