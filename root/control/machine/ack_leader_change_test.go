package machine_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// TestNextLeaderAwaitsEntriesOfItsView guards against changes that a new leader acknowledges
// before the entries of the last leader have renewed with it.
func TestNextLeaderAwaitsEntriesOfItsView(t *testing.T) {
	c := qt.New(t)
	late := 0
	for seed := uint64(1); seed <= 20; seed++ {
		sim := newOpenSimulation(seed, machine.RuleNone)
		sim.lossless = true
		sim.trackAcks()
		sim.runFor(rejoinTime)
		sim.acknowledgeRoutes(sim.waitForLiveLeader())
		sim.runFor(time.Second)
		sim.losePower(sim.waitForLiveLeader())
		next := sim.waitForLiveLeader()
		entry := sim.nodes[slices.IndexFunc(sim.nodes, isEntryOnly)]
		entry.pausedUntil = sim.now.Add(200 * time.Millisecond)
		sim.acknowledgeRoutes(next)
		for _, n := range sim.nodes {
			if isEntryOnly(n) && n.view.Routes.Version < sim.ackedVersion {
				late++
				break
			}
		}
	}
	c.Check(late, qt.Equals, 0)
}

// TestRepeatedProposalIsCommittedOnce guards against a proposal that is committed again
// because it arrives again while its answer waits for an entry.
func TestRepeatedProposalIsCommittedOnce(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 10; seed++ {
		sim := newOpenSimulation(seed, machine.RuleNone)
		sim.lossless = true
		sim.trackAcks()
		sim.runFor(rejoinTime)
		leader := sim.waitForLiveLeader()
		others := sim.otherReplicas(leader)
		sim.losePower(sim.nodes[slices.IndexFunc(sim.nodes, isEntryOnly)])
		var again machine.Message
		sim.onSend = func(_, _ string, msg machine.Message) {
			if p, ok := msg.(machine.Propose); ok {
				again = p
			}
		}
		before := leader.m.LastIndex()
		sim.lastVersion++
		sim.submitRoutes(others[0], sim.lastVersion)
		sim.runFor(150 * time.Millisecond)
		c.Assert(again, qt.IsNotNil)
		leader.step(machine.Received{From: others[0].id, Message: again})
		sim.runFor(100 * time.Millisecond)
		c.Check(leader.m.LastIndex()-before, qt.Equals, uint64(1), qt.Commentf("seed %d", seed))
	}
}

// TestDepartureOfAnUnlistedServerAwaitsEntries guards against a departure that a leader with
// a partial view acknowledges before the entries, whose older views list the server, know it.
func TestDepartureOfAnUnlistedServerAwaitsEntries(t *testing.T) {
	c := qt.New(t)
	failed := 0
	for seed := uint64(1); seed <= 20; seed++ {
		sim := newOpenSimulation(seed, machine.RuleNone)
		sim.lossless = true
		sim.runFor(rejoinTime)
		sim.announceState(sim.nodes[0], 1, fleet.Active)
		for !sim.allShow(fleet.Active) {
			sim.advance()
		}
		sim.losePower(sim.upReplicas()...)
		for _, n := range sim.nodes {
			if n.replica {
				n.start()
			}
		}
		leader := sim.waitForLiveLeader()
		for range 400 {
			ready := true
			for _, n := range sim.nodes {
				ready = ready && (!isEntryOnly(n) || n.view.Term == leader.view.Term)
			}
			if ready {
				break
			}
			sim.advance()
		}
		sim.depart(leader, fleet.Leaving)
		for _, n := range sim.nodes {
			if isEntryOnly(n) && slices.ContainsFunc(n.view.Servers, isActiveEngine) {
				failed++
				break
			}
		}
	}
	c.Check(failed, qt.Equals, 0)
}
