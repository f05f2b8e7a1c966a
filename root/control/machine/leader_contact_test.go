package machine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// TestLossOfTheLeaderIsReportedOnce cuts an entry off and joins it again. It must say once
// each that no leader renews its view and that one does again.
func TestLossOfTheLeaderIsReportedOnce(t *testing.T) {
	const cut = 6 * time.Second
	c := qt.New(t)
	sim := newSimulation(1, machine.RuleNone)
	sim.lossless = true
	leader := sim.waitForLeader()
	sim.runFor(3 * time.Second)
	entry := sim.nodes[replicas]
	var lost []machine.LeaderLost
	var found []machine.LeaderFound
	sim.onContact = func(n *node, e machine.Effect) {
		c.Check(n, qt.Equals, entry)
		switch e := e.(type) {
		case machine.LeaderLost:
			lost = append(lost, e)
		case machine.LeaderFound:
			found = append(found, e)
		}
	}
	sim.runFor(3 * time.Second)
	entry.isolated = true
	sim.runFor(cut)
	c.Assert(lost, qt.HasLen, 1)
	c.Assert(found, qt.HasLen, 0)
	entry.isolated = false
	sim.runFor(3 * time.Second)
	c.Assert(lost, qt.HasLen, 1)
	c.Assert(found, qt.HasLen, 1)

	lease := leader.m.Timing().ViewLease
	c.Check(lost[0].Term, qt.Equals, entry.view.Term)
	c.Check(lost[0].Asking, qt.Not(qt.Equals), "")
	c.Check(lost[0].Silence > lease/3 && lost[0].Silence < lease, qt.IsTrue, qt.Commentf("%s", lost[0].Silence))
	c.Check(found[0].Leader, qt.Equals, leader.id)
	c.Check(found[0].Silence > cut, qt.IsTrue, qt.Commentf("%s", found[0].Silence))
	c.Check(found[0].Asked, qt.Equals, replicas)
}
