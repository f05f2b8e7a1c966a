package machine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// mostGrants is the number of VMs to which a leader may send unasked within one step of
// the simulation, which takes 5 ms.
const mostGrants = 20

// countUnaskedGrants counts, for each step of the simulation, the Grants that answer no
// Renew, and returns the highest count when it is called.
func (sim *simulation) countUnaskedGrants() (most func() int) {
	count, highest := 0, 0
	at := sim.now
	sim.onSend = func(_, _ string, msg machine.Message) {
		if sim.now.After(at) {
			at, count = sim.now, 0
		}
		if g, ok := msg.(machine.Grant); ok && g.Lease == 0 {
			count++
			highest = max(highest, count)
		}
	}
	return func() int { return highest }
}

// TestPushToAFleetLeavesTimeForHeartbeats changes the view and then the leader of a fleet
// whose VMs all need the new view. Sent in one step, it keeps a small VM busy for longer
// than an election timeout, and leaders follow each other.
func TestPushToAFleetLeavesTimeForHeartbeats(t *testing.T) {
	c := qt.New(t)
	const vms = 120
	sim := newSimulation(1, machine.RuleNone)
	for range vms {
		sim.addNode(false).start()
	}
	old := sim.waitForLeader()
	sim.runFor(3 * time.Second)

	most := sim.countUnaskedGrants()
	sim.announceState(sim.nodes[replicas], 1, fleet.Active)
	sim.runFor(600 * time.Millisecond)
	c.Assert(sim.allShow(fleet.Active), qt.IsTrue)
	c.Check(most() <= mostGrants, qt.IsTrue, qt.Commentf("%d VMs were sent a view in one step", most()))

	most = sim.countUnaskedGrants()
	old.crash()
	next := sim.nextLeader(old)
	// The network loses some of the messages.
	sim.runFor(3 * time.Second)
	c.Assert(sim.allFollow(next), qt.IsTrue)
	c.Check(most() <= mostGrants, qt.IsTrue, qt.Commentf("%d VMs were told of the leader in one step", most()))
}

// TestFrequentChangesReachTheLastVM changes the view more often than a push takes. The VMs
// at the end of the order must not wait for the changes to stop, or for the answer to
// their next Renew.
func TestFrequentChangesReachTheLastVM(t *testing.T) {
	c := qt.New(t)
	const vms = 120
	sim := newSimulation(2, machine.RuleNone)
	for range vms {
		sim.addNode(false).start()
	}
	sim.waitForLeader()
	sim.runFor(3 * time.Second)
	last := sim.nodes[len(sim.nodes)-1]
	pushed := 0
	sim.onSend = func(_, to string, msg machine.Message) {
		if g, ok := msg.(machine.Grant); ok && to == last.id && g.Lease == 0 && g.Update != nil {
			pushed++
		}
	}
	before := last.view.Seq
	for i := range 40 {
		state := fleet.Active
		if i%2 == 1 {
			state = fleet.Draining
		}
		sim.announceState(sim.nodes[replicas], uint64(i+1), state)
		sim.runFor(25 * time.Millisecond)
	}
	c.Assert(last.view.Seq >= before+2, qt.IsTrue, qt.Commentf("view %d after %d", last.view.Seq, before))
	c.Assert(pushed >= 2, qt.IsTrue, qt.Commentf("%d views were pushed to the last VM", pushed))
}

// TestVMsLookForALeaderAtDifferentReplicas loses all replicas. VMs that walk them in the
// same order, each for as long, arrive together at one after the other, and their sessions
// keep each next leader from its heartbeats.
func TestVMsLookForALeaderAtDifferentReplicas(t *testing.T) {
	c := qt.New(t)
	const vms = 120
	sim := newSimulation(3, machine.RuleNone)
	for range vms {
		sim.addNode(false).start()
	}
	old := sim.waitForLeader()
	sim.runFor(3 * time.Second)
	for _, n := range sim.nodes[:replicas] {
		n.crash()
	}
	asked := map[string]int{}
	found := map[string]bool{old.id: true}
	sim.onSend = func(from, to string, msg machine.Message) {
		if _, ok := msg.(machine.Renew); ok && to != old.id && !found[from] {
			found[from] = true
			asked[to]++
		}
	}
	sim.runFor(2 * old.m.Timing().RenewTimeout)
	c.Assert(len(found) > vms, qt.IsTrue)
	for id, count := range asked {
		c.Check(count < vms*3/4, qt.IsTrue, qt.Commentf("%d of %d VMs asked %s first", count, vms, id))
	}
}
