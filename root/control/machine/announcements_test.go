package machine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// announceState announces the engine to a node in the given state.
func (sim *simulation) announceState(at *node, sequence uint64, state fleet.State) {
	at.step(machine.Announced{Server: fleet.Server{
		ID: engineID, Incarnation: 1, Sequence: sequence, Address: "http://engine",
		Targets: []string{"assistant"}, Slots: 8, State: state,
	}})
}

// allShow reports whether all nodes that are up show the engine in the given state.
func (sim *simulation) allShow(state fleet.State) bool {
	for _, n := range sim.nodes {
		if n.down {
			continue
		}
		if len(n.view.Servers) != 1 || n.view.Servers[0].State != state {
			return false
		}
	}
	return true
}

// TestAnnouncedDrainSurvivesLeaderFailure checks that a server that announced a
// drain stays draining in the next leader's views, even before it announces itself
// again.
func TestAnnouncedDrainSurvivesLeaderFailure(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 10; seed++ {
		sim := newSimulation(seed, machine.RuleNone)
		leader := sim.waitForLeader()
		entry := sim.nodes[replicas]
		sim.announceState(entry, 1, fleet.Active)
		sim.runFor(2 * time.Second)
		c.Assert(sim.allShow(fleet.Active), qt.IsTrue)
		sim.announceState(entry, 2, fleet.Draining)
		sim.runFor(2 * time.Second)
		c.Assert(sim.allShow(fleet.Draining), qt.IsTrue)
		// The two processes that know the announcement can't report it to the next
		// leader.
		entry.crash()
		leader.crash()
		for end := sim.now.Add(4 * time.Second); sim.now.Before(end); {
			sim.advance()
			c.Assert(sim.allShow(fleet.Draining), qt.IsTrue, qt.Commentf("seed %d", seed))
		}
	}
}

// TestDeregistrationOfUnknownServerReachesAllNodes deregisters a server at a
// process that does not know it yet.
func TestDeregistrationOfUnknownServerReachesAllNodes(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, machine.RuleNone)
	sim.waitForLeader()
	entry := sim.nodes[replicas]
	entry.isolated = true
	sim.announceState(sim.nodes[replicas+1], 1, fleet.Active)
	sim.runFor(500 * time.Millisecond)
	c.Assert(entry.view.Servers, qt.HasLen, 0)
	entry.step(machine.Deregistered{Server: engineID, Incarnation: 1})
	entry.isolated = false
	sim.runFor(3 * time.Second)
	c.Assert(sim.allShow(fleet.Leaving), qt.IsTrue)
	sim.announceState(sim.nodes[replicas+1], 2, fleet.Active)
	sim.runFor(time.Second)
	c.Assert(sim.allShow(fleet.Leaving), qt.IsTrue)
}

// TestDeregistrationBeforeFirstAnnouncementIsFinal checks that a delayed
// announcement of a deregistered server does not add it to any view.
func TestDeregistrationBeforeFirstAnnouncementIsFinal(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, machine.RuleNone)
	sim.waitForLeader()
	sim.nodes[replicas].step(machine.Deregistered{Server: engineID, Incarnation: 1})
	sim.runFor(time.Second)
	sim.announceState(sim.nodes[replicas+1], 1, fleet.Active)
	sim.runFor(2 * time.Second)
	for _, n := range sim.nodes {
		c.Assert(n.view.Servers, qt.HasLen, 0)
	}
}

// TestDeregistrationAppliesToItsIncarnation checks that the deregistration of an
// earlier incarnation is ignored. Incarnation 0 stands for the current one.
func TestDeregistrationAppliesToItsIncarnation(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		incarnation uint64
		want        fleet.State
	}{{1, fleet.Active}, {2, fleet.Leaving}, {0, fleet.Leaving}} {
		sim := newSimulation(1, machine.RuleNone)
		sim.waitForLeader()
		entry := sim.nodes[replicas]
		entry.step(machine.Announced{Server: fleet.Server{
			ID: engineID, Incarnation: 2, Sequence: 1, Address: "http://engine", Targets: []string{"assistant"}, Slots: 8,
		}})
		sim.runFor(time.Second)
		entry.step(machine.Deregistered{Server: engineID, Incarnation: test.incarnation})
		sim.runFor(time.Second)
		c.Assert(sim.allShow(test.want), qt.IsTrue, qt.Commentf("incarnation %d", test.incarnation))
	}
}

// TestDeregistrationSurvivesLeaderFailure covers a leader that fails before it has
// passed on a deregistration. The server deregisters only once, so the entry has to
// report it to the next leader.
func TestDeregistrationSurvivesLeaderFailure(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 10; seed++ {
		sim := newSimulation(seed, machine.RuleNone)
		leader := sim.waitForLeader()
		entry := sim.nodes[replicas]
		sim.announceState(sim.nodes[replicas+1], 1, fleet.Active)
		sim.runFor(2 * time.Second)
		for _, n := range sim.nodes {
			if n != entry {
				sim.partition(leader, n)
			}
		}
		entry.step(machine.Deregistered{Server: engineID, Incarnation: 1})
		// Long enough for a second Renew, which no longer carries the
		// deregistration.
		sim.runFor(560 * time.Millisecond)
		leader.crash()
		clear(sim.blocked)
		sim.runFor(5 * time.Second)
		c.Assert(sim.allShow(fleet.Leaving), qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}

// TestAnnouncementIsReportedOnce bounds the size of Renews: announcements that the
// leader has confirmed are not repeated.
func TestAnnouncementIsReportedOnce(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, machine.RuleNone)
	sim.waitForLeader()
	sim.runFor(time.Second)
	sim.announceState(sim.nodes[replicas], 1, fleet.Active)
	sightings := 0
	for end := sim.now.Add(3 * time.Second); sim.now.Before(end); {
		sim.advance()
		sightings += sim.reportsInFlight()
	}
	// A packet is in flight at the end of at most two steps, and may be duplicated.
	c.Assert(sightings > 0 && sightings <= 4, qt.IsTrue, qt.Commentf("seen in flight %d times", sightings))
}

// reportsInFlight counts the Renews in the network that carry an announcement.
func (sim *simulation) reportsInFlight() int {
	n := 0
	for _, m := range sim.packets {
		if r, ok := m.msg.(machine.Renew); ok && len(r.Heard) > 0 {
			n++
		}
	}
	return n
}
