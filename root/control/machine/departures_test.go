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

// departureSequence is the sequence number of the engine's draining announcement.
const departureSequence = 40

// depart makes the engine drain or leave at a replica, as package loop does, and runs until
// that is acknowledged.
func (sim *simulation) depart(at *node, state fleet.State) {
	s := fleet.Server{
		ID: engineID, Incarnation: 1, Sequence: departureSequence, Address: "http://engine",
		Targets: []string{"assistant"}, Slots: 8, State: state,
	}
	if state == fleet.Leaving {
		s = fleet.Leave(engineID, 1)
		at.step(machine.Deregistered{Server: engineID, Incarnation: 1})
	} else {
		at.step(machine.Announced{Server: s})
	}
	acknowledged := false
	sim.onAnswer = func(n *node, a machine.Answer) { acknowledged = acknowledged || n == at && a.Result.Err == nil }
	at.nextID++
	at.step(machine.Submit{ID: at.nextID, Command: replicated.RecordFleet{Servers: []fleet.Server{s}}})
	for range 1000 {
		if acknowledged {
			sim.onAnswer = nil
			return
		}
		sim.advance()
	}
	sim.fail("the departure was not acknowledged")
}

// checkNeverActive fails if some node shows the engine as active within the given time.
func (sim *simulation) checkNeverActive(limit time.Duration) {
	for end := sim.now.Add(limit); sim.now.Before(end); {
		sim.advance()
		for _, n := range sim.nodes {
			if !n.down && slices.ContainsFunc(n.view.Servers, func(s fleet.Server) bool { return s.State == fleet.Active }) {
				sim.fail("%s shows the engine as active", n.id)
			}
		}
	}
}

// awaitOtherLeader runs until a node other than the given one leads.
func (sim *simulation) awaitOtherLeader(lost *node) {
	for range 2000 {
		sim.advance()
		if slices.ContainsFunc(sim.nodes, func(n *node) bool { return n != lost && n.m.Leads() }) {
			return
		}
	}
	sim.fail("no other leader was elected")
}

// isEntryOnly reports whether a node runs no replica.
func isEntryOnly(n *node) bool { return !n.replica }

// TestAcknowledgedDepartureSurvivesTheCore guards against a departure that was acknowledged
// just before all replicas were killed, and that the next leader did not know of.
func TestAcknowledgedDepartureSurvivesTheCore(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 10; seed++ {
		for _, state := range []fleet.State{fleet.Draining, fleet.Leaving} {
			sim := newSimulation(seed, machine.RuleNone)
			sim.open = true
			sim.waitForLeader()
			sim.announceState(sim.nodes[0], 1, fleet.Active)
			sim.runFor(2 * time.Second)
			c.Assert(sim.allShow(fleet.Active), qt.IsTrue)
			sim.depart(sim.nodes[seed%replicas], state)
			sim.powerFailure(isEntryOnly)
			sim.waitForLeader()
			sim.runFor(time.Second)
			sim.checkNeverActive(5 * time.Second)
			c.Assert(sim.violation, qt.Equals, "", qt.Commentf("seed %d, %s", seed, state))
		}
	}
}

// TestAcknowledgedDepartureSurvivesItsLeader guards against a departure that the log has and
// the last view of the next leader lacks.
func TestAcknowledgedDepartureSurvivesItsLeader(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 10; seed++ {
		for _, state := range []fleet.State{fleet.Draining, fleet.Leaving} {
			sim := newSimulation(seed, machine.RuleNone)
			leader := sim.waitForLeader()
			sim.announceState(leader, 1, fleet.Active)
			sim.runFor(2 * time.Second)
			c.Assert(sim.allShow(fleet.Active), qt.IsTrue)
			// The leader's views reach nobody else, its log does.
			sim.dropGrants = true
			sim.depart(leader, state)
			sim.runFor(2 * maxNetDelay)
			leader.crash()
			sim.dropGrants = false
			sim.awaitOtherLeader(leader)
			sim.runFor(time.Second)
			sim.checkNeverActive(2 * time.Second)
			c.Assert(sim.violation, qt.Equals, "", qt.Commentf("seed %d, %s", seed, state))
		}
	}
}

// TestRepeatedDepartureTakesNoLogEntry covers a draining server, whose announcements are
// acknowledged as often as they come.
func TestRepeatedDepartureTakesNoLogEntry(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, machine.RuleNone)
	leader := sim.waitForLeader()
	sim.announceState(sim.nodes[0], 1, fleet.Active)
	sim.runFor(time.Second)
	sim.depart(sim.nodes[0], fleet.Draining)
	sim.runFor(time.Second)
	before := leader.m.LastIndex()
	for range 5 {
		sim.depart(sim.nodes[0], fleet.Draining)
	}
	c.Assert(leader.m.LastIndex(), qt.Equals, before)
	c.Assert(sim.violation, qt.Equals, "")
}

// TestOlderDepartureIsNotRecorded covers a late departure of an earlier start of a server.
func TestOlderDepartureIsNotRecorded(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, machine.RuleNone)
	sim.waitForLeader()
	sim.nodes[0].step(machine.Announced{Server: fleet.Server{
		ID: engineID, Incarnation: 2, Sequence: 1, Address: "http://engine", Targets: []string{"assistant"}, Slots: 8,
	}})
	sim.runFor(2 * time.Second)
	for _, state := range []fleet.State{fleet.Draining, fleet.Leaving} {
		sim.depart(sim.nodes[1], state)
		sim.powerFailure(noNode)
		sim.waitForLeader()
		sim.runFor(time.Second)
		c.Assert(sim.allShow(fleet.Active), qt.IsTrue, qt.Commentf("%s", state))
	}
}

// TestLateAnnouncementOfDepartedServerIsIgnored guards against a leader that starts after all
// processes were killed, and takes a late announcement of a server that left for that of a
// new one.
func TestLateAnnouncementOfDepartedServerIsIgnored(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 10; seed++ {
		for _, state := range []fleet.State{fleet.Draining, fleet.Leaving} {
			sim := newSimulation(seed, machine.RuleNone)
			sim.waitForLeader()
			sim.announceState(sim.nodes[0], 1, fleet.Active)
			sim.runFor(2 * time.Second)
			sim.depart(sim.nodes[0], state)
			sim.runFor(2 * time.Second)
			sim.powerFailure(noNode)
			sim.waitForLeader()
			sim.runFor(2 * time.Second)
			sim.announceState(sim.nodes[1], departureSequence-1, fleet.Active)
			sim.checkNeverActive(5 * time.Second)
			c.Assert(sim.violation, qt.Equals, "", qt.Commentf("seed %d, %s", seed, state))
		}
	}
}

// TestLateDepartureSparesALaterStart guards against a departure without an incarnation that
// reaches the leader after the server has started again under its id.
func TestLateDepartureSparesALaterStart(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, machine.RuleNone)
	leader := sim.waitForLeader()
	at := sim.nodes[replicas]
	announce := func(incarnation uint64) {
		sim.nodes[replicas+1].step(machine.Announced{Server: fleet.Server{
			ID: engineID, Incarnation: incarnation, Sequence: 1, Address: "http://engine", Targets: []string{"assistant"}, Slots: 8,
		}})
	}
	announce(1)
	sim.runFor(2 * time.Second)
	c.Assert(sim.allShow(fleet.Active), qt.IsTrue)
	at.isolated = true
	at.nextID++
	at.step(machine.Submit{ID: at.nextID, Command: replicated.RecordFleet{Servers: []fleet.Server{fleet.Leave(engineID, 0)}}})
	announce(2)
	sim.runFor(2 * time.Second)
	at.isolated = false
	sim.runFor(3 * time.Second)
	c.Assert(sim.allShow(fleet.Active), qt.IsTrue)
	c.Assert(leader.view.Servers[0].Incarnation, qt.Equals, uint64(2))
}
