package machine_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// TestServersAreRestoredAfterPowerFailure checks that views show the previous
// servers in their previous states before any of them has announced itself again.
func TestServersAreRestoredAfterPowerFailure(t *testing.T) {
	c := qt.New(t)
	for _, state := range []fleet.State{fleet.Active, fleet.Draining} {
		sim := newSimulation(1, machine.RuleNone)
		sim.waitForLeader()
		sim.announceState(sim.nodes[replicas], 1, state)
		sim.runFor(2 * time.Second)
		c.Assert(sim.allShow(state), qt.IsTrue)
		sim.powerFailure(noNode)
		sim.waitForLeader()
		sim.runFor(time.Second)
		c.Assert(sim.allShow(state), qt.IsTrue)
	}
}

// TestRemovedServerIsNotRestoredAfterPowerFailure covers servers that deregistered
// and servers that are suspected.
func TestRemovedServerIsNotRestoredAfterPowerFailure(t *testing.T) {
	c := qt.New(t)
	for _, silent := range []bool{false, true} {
		sim := newSimulation(1, machine.RuleNone)
		sim.waitForLeader()
		sim.announceState(sim.nodes[replicas], 1, fleet.Active)
		sim.runFor(2 * time.Second)
		if !silent {
			sim.nodes[replicas].step(machine.Deregistered{Server: engineID, Incarnation: 1})
		}
		sim.runFor(7 * time.Second)
		sim.powerFailure(noNode)
		sim.waitForLeader()
		sim.runFor(time.Second)
		for _, n := range sim.nodes {
			c.Assert(n.view.Servers, qt.HasLen, 0)
		}
	}
}

// powerFailure restarts all nodes except lost ones, and drops all packets in flight.
func (sim *simulation) powerFailure(lost func(*node) bool) {
	var restarted []*node
	for _, n := range sim.nodes {
		if !lost(n) {
			n.crash()
			restarted = append(restarted, n)
		}
	}
	sim.packets = nil
	for _, n := range restarted {
		n.start()
	}
}

func noNode(*node) bool { return false }

// TestLargeFleetIsRecordedInBatches checks that a fleet larger than one record is
// restored completely after a power failure.
func TestLargeFleetIsRecordedInBatches(t *testing.T) {
	c := qt.New(t)
	const servers = 1500
	sim := newSimulation(1, machine.RuleNone)
	sim.waitForLeader()
	entry := sim.nodes[replicas]
	for i := range servers {
		id := fmt.Sprintf("engine-%d", i)
		entry.step(machine.Announced{Server: fleet.Server{
			ID: id, Incarnation: 1, Sequence: 1, Address: "http://" + id, Targets: []string{"assistant"}, Slots: 8,
		}})
	}
	sim.runFor(4 * time.Second)
	sim.powerFailure(noNode)
	sim.waitForLeader()
	sim.runFor(2 * time.Second)
	for _, n := range sim.nodes {
		c.Assert(n.view.Servers, qt.HasLen, servers)
	}
}

// TestUnrecordableServerIsSkipped checks that the log does not grow by repeated
// records that are rejected, and that other servers are still recorded.
func TestUnrecordableServerIsSkipped(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, machine.RuleNone)
	leader := sim.waitForLeader()
	entry := sim.nodes[replicas]
	entry.step(machine.Announced{Server: fleet.Server{
		ID: strings.Repeat("x", 1000), Incarnation: 1, Sequence: 1, Address: "http://long", Targets: []string{"assistant"}, Slots: 8,
	}})
	sim.announceState(entry, 1, fleet.Active)
	// All waits together are shorter than the silence after which a server is
	// suspected.
	sim.runFor(2 * time.Second)
	before := leader.m.LastIndex()
	sim.runFor(2 * time.Second)
	c.Assert(leader.m.LastIndex(), qt.Equals, before)
	sim.powerFailure(noNode)
	sim.waitForLeader()
	sim.runFor(time.Second)
	c.Assert(sim.allShow(fleet.Active), qt.IsTrue)
}

// TestLongTextsAreRecorded guards against servers with long texts, whose record was larger
// than the log accepts, so that no server was recorded any more.
func TestLongTextsAreRecorded(t *testing.T) {
	c := qt.New(t)
	const servers = 100
	sim := newSimulation(1, machine.RuleNone)
	sim.waitForLeader()
	for i := range servers {
		s := fleet.Server{ID: fmt.Sprintf("engine-%d", i), Incarnation: 1, Sequence: 1, Address: fmt.Sprintf("http://engine-%d", i), Slots: 8}
		for j := range 64 {
			s.Targets = append(s.Targets, strings.Repeat(string(rune('a'+j%26)), fleet.MaxTargetBytes))
		}
		c.Assert(s.Validate(), qt.IsNil)
		sim.nodes[replicas].step(machine.Announced{Server: s})
	}
	sim.runFor(4 * time.Second)
	sim.powerFailure(noNode)
	sim.waitForLeader()
	sim.runFor(2 * time.Second)
	for _, n := range sim.nodes {
		c.Assert(n.view.Servers, qt.HasLen, servers)
	}
}
