package machine_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// losePower ends nodes together with all messages that they have sent and that have not
// arrived.
func (sim *simulation) losePower(nodes ...*node) {
	for _, n := range nodes {
		n.crash()
		sim.packets = slices.DeleteFunc(sim.packets, func(p packet) bool { return p.from == n.id })
	}
}

// otherReplicas returns all replicas but the given one.
func (sim *simulation) otherReplicas(but *node) []*node {
	return slices.DeleteFunc(slices.Clone(sim.nodes), func(n *node) bool { return n == but || !n.replica })
}

// checkEntriesHaveRoutes checks that all entries have the acknowledged version.
func (sim *openSimulation) checkEntriesHaveRoutes() {
	for _, n := range sim.nodes {
		if isEntryOnly(n) && n.view.Routes.Version < sim.ackedVersion {
			sim.fail("%s has version %d, but version %d was acknowledged", n.id, n.view.Routes.Version, sim.ackedVersion)
		}
	}
}

// checkNoEntryShowsTheEngine checks that no entry shows the engine as active.
func (sim *openSimulation) checkNoEntryShowsTheEngine() {
	for _, n := range sim.nodes {
		if isEntryOnly(n) && slices.ContainsFunc(n.view.Servers, isActiveEngine) {
			sim.fail("%s shows the engine as active", n.id)
		}
	}
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
		others := sim.otherReplicas(leader)
		for range 3 {
			sim.acknowledgeRoutes(others[0])
			sim.runFor(time.Second)
		}
		sim.acknowledgeRoutes(others[0])
		sim.losePower(leader, others[1], others[2])
		sim.runFor(5 * time.Second)
		sim.checkEntriesHaveRoutes()
		c.Check(sim.violation, qt.Equals, "", qt.Commentf("seed %d", seed))
	}
}

// TestSilentEntryDelaysAnAcknowledgementBriefly guards against changes of the routes that
// wait for an entry that is gone.
func TestSilentEntryDelaysAnAcknowledgementBriefly(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 10; seed++ {
		sim := newOpenSimulation(seed, machine.RuleNone)
		sim.lossless = true
		sim.trackAcks()
		sim.runFor(rejoinTime)
		at := sim.waitForLiveLeader()
		timing := at.m.Timing()
		entry := sim.nodes[slices.IndexFunc(sim.nodes, isEntryOnly)]
		sim.losePower(entry)
		for _, limit := range []time.Duration{timing.EntryConfirmTimeout, timing.EntryConfirmTimeout, 100 * time.Millisecond} {
			began := sim.now
			sim.acknowledgeRoutes(at)
			took := sim.now.Sub(began)
			c.Check(took <= limit+2*stepTime, qt.IsTrue, qt.Commentf("seed %d: answered after %s", seed, took))
			sim.runFor(time.Second)
		}
		c.Check(sim.violation, qt.Equals, "", qt.Commentf("seed %d", seed))
	}
}

// TestRoutesOfALargeFleetCauseNoBurstOfRenews guards against hundreds of entries that are
// asked at once to confirm a change, which keeps the heartbeats of consensus waiting.
func TestRoutesOfALargeFleetCauseNoBurstOfRenews(t *testing.T) {
	c := qt.New(t)
	sim := newOpenSimulation(1, machine.RuleNone)
	sim.lossless = true
	for range 100 {
		sim.addNode(false).start()
	}
	sim.trackAcks()
	sim.runFor(rejoinTime)
	asked := 0
	sim.onSend = func(_, _ string, msg machine.Message) {
		if g, ok := msg.(machine.Grant); ok && g.Confirm {
			asked++
		}
	}
	sim.acknowledgeRoutes(sim.waitForLiveLeader())
	c.Check(asked, qt.Equals, 0)
	c.Check(sim.violation, qt.Equals, "")
}

// TestLostLeaderLeavesNoEntryWithADepartedServer guards against entries that keep sending
// requests to a server, because the leader lost power right after its departure was
// acknowledged and no other leader reaches them.
func TestLostLeaderLeavesNoEntryWithADepartedServer(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 20; seed++ {
		for _, state := range []fleet.State{fleet.Draining, fleet.Leaving} {
			sim := newOpenSimulation(seed, machine.RuleNone)
			sim.lossless = true
			sim.announceState(sim.nodes[0], 1, fleet.Active)
			sim.runFor(2 * time.Second)
			c.Assert(sim.allShow(fleet.Active), qt.IsTrue)
			leader := sim.waitForLiveLeader()
			others := sim.otherReplicas(leader)
			// Another change of the fleet has just been pushed, so the next push waits.
			other := fleet.Server{ID: "engine-2", Incarnation: 1, Sequence: 1, Address: "http://engine-2", Targets: []string{"assistant"}, Slots: 8, State: fleet.Active}
			leader.step(machine.Announced{Server: other})
			sim.runFor(2 * maxNetDelay)
			sim.depart(others[0], state)
			sim.losePower(leader, others[1], others[2])
			sim.runFor(100 * time.Millisecond)
			sim.checkNoEntryShowsTheEngine()
			c.Check(sim.violation, qt.Equals, "", qt.Commentf("seed %d, %s", seed, state))
		}
	}
}

func isActiveEngine(s fleet.Server) bool { return s.ID == engineID && s.State == fleet.Active }

// TestRepeatedDepartureWaitsForNoEntry guards against heartbeats of a draining server that
// make all entries confirm their view again.
func TestRepeatedDepartureWaitsForNoEntry(t *testing.T) {
	c := qt.New(t)
	sim := newOpenSimulation(1, machine.RuleNone)
	sim.lossless = true
	sim.announceState(sim.nodes[0], 1, fleet.Active)
	sim.runFor(2 * time.Second)
	leader := sim.waitForLiveLeader()
	sim.depart(leader, fleet.Draining)
	sim.runFor(2 * time.Second)
	asked := 0
	sim.onSend = func(_, _ string, msg machine.Message) {
		if g, ok := msg.(machine.Grant); ok && g.Confirm {
			asked++
		}
	}
	sim.depart(leader, fleet.Draining)
	c.Check(asked, qt.Equals, 0)
	c.Check(sim.violation, qt.Equals, "")
}
