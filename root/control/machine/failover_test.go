package machine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// TestNewLeaderIsFollowedPromptly checks that processes follow a new leader well
// before their timeout on the previous one. The network drops one message in fifty, so
// some seeds need more than the first announcement.
func TestNewLeaderIsFollowedPromptly(t *testing.T) {
	c := qt.New(t)
	const seeds = 10
	fast := 0
	for seed := uint64(1); seed <= seeds; seed++ {
		sim := newSimulation(seed, machine.RuleNone)
		old := sim.waitForLeader()
		sim.runFor(time.Second)
		old.crash()
		next := sim.nextLeader(old)
		sim.runFor(next.m.Timing().RenewTimeout / 4)
		if sim.allFollow(next) {
			fast++
		}
		sim.runFor(2 * time.Second)
		c.Assert(sim.allFollow(next), qt.IsTrue, qt.Commentf("seed %d", seed))
	}
	c.Assert(fast >= seeds*2/3, qt.IsTrue, qt.Commentf("%d of %d", fast, seeds))
}

func (sim *simulation) nextLeader(old *node) *node {
	for range 1200 {
		sim.advance()
		for _, n := range sim.nodes {
			if n != old && n.m.Leads() {
				return n
			}
		}
	}
	sim.fail("no leader was elected")
	return sim.nodes[0]
}

func (sim *simulation) allFollow(leader *node) bool {
	for _, n := range sim.nodes {
		if !n.down && n.view.Term != leader.view.Term {
			return false
		}
	}
	return true
}

// TestChangeOfLeaderCostsNoEntryForEachVM changes the leader of a large fleet, to which
// every VM is new. The processes that renew with the successor were known before, so its
// log must not grow by an entry for each of them while it has to hold its quorum.
func TestChangeOfLeaderCostsNoEntryForEachVM(t *testing.T) {
	c := qt.New(t)
	const vms = 60
	sim := newSimulation(1, machine.RuleNone)
	for range vms {
		sim.addNode(false).start()
	}
	old := sim.waitForLeader()
	sim.runFor(3 * time.Second)
	old.crash()
	next := sim.nextLeader(old)
	before := next.m.LastIndex()
	sim.runFor(3 * time.Second)
	c.Assert(sim.allFollow(next), qt.IsTrue)
	c.Assert(next.m.LastIndex()-before < vms/4, qt.IsTrue, qt.Commentf("%d entries", next.m.LastIndex()-before))
}
