package machine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// proposedRoleChange is the message that requests an order to change the engine's role.
func proposedRoleChange(id uint64, role fleet.Role) machine.Propose {
	return machine.Propose{ID: id, Command: replicated.RecordOrder{RecordOrder: authority.RecordOrder{
		Server: engineID, Action: authority.Action{Kind: authority.ChangeRole, Role: role},
	}}}
}

// runWithEngine runs the simulation while the engine announces itself and the nodes
// report their traffic.
func (sim *simulation) runWithEngine(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.runFor(100 * time.Millisecond)
		sim.reportAll()
	}
}

func (sim *simulation) reportAll() {
	sim.announceEngine()
	for _, n := range sim.nodes {
		if !n.down {
			n.reportTraffic()
		}
	}
}

// orderSettled sends a request for an order from vm-5 and runs until it has settled.
func (sim *simulation) orderSettled(c *qt.C, leader *node, id uint64) {
	leader.step(machine.Received{From: "vm-5", Message: proposedRoleChange(id, fleet.Prefill)})
	sim.runWithEngine(10 * time.Second)
	c.Assert(sim.executedOrders, qt.Equals, 1)
	c.Assert(sim.engine.role, qt.Equals, fleet.Prefill)
}

// TestResentOrderDoesNotRunAgain delivers a request for an order once more after the
// order has settled, to the same leader, to its successor, and to a successor after all
// processes restarted. The engine must not get a second order.
func TestResentOrderDoesNotRunAgain(t *testing.T) {
	for name, handOver := range map[string]func(sim *simulation, old *node) *node{
		"same leader": func(_ *simulation, old *node) *node { return old },
		"next leader": func(sim *simulation, old *node) *node {
			old.crash()
			return sim.nextLeader(old)
		},
		"after a restart of all": func(sim *simulation, _ *node) *node {
			for _, n := range sim.nodes {
				n.crash()
			}
			for _, n := range sim.nodes {
				n.start()
			}
			return sim.waitForLeader()
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sim := newSimulation(1, machine.RuleNone)
			leader := sim.waitForLeader()
			sim.runWithEngine(2 * time.Second)
			const id = 7777
			sim.orderSettled(c, leader, id)
			// Another order takes the engine's role back, so that a repeat has an effect.
			leader.step(machine.Received{From: "vm-4", Message: proposedRoleChange(1, fleet.Decode)})
			sim.runWithEngine(10 * time.Second)
			c.Assert(sim.executedOrders, qt.Equals, 2)

			next := handOver(sim, leader)
			sim.runWithEngine(5 * time.Second)
			next.step(machine.Received{From: "vm-5", Message: proposedRoleChange(id, fleet.Prefill)})
			sim.runWithEngine(10 * time.Second)
			c.Assert(sim.executedOrders, qt.Equals, 2)
			c.Assert(sim.engine.role, qt.Equals, fleet.Decode)
			c.Assert(sim.violation, qt.Equals, "")
		})
	}
}

// TestOrderOfALostLeaderRunsOnce loses the leader after it has sent an order and before
// that has settled. Its successor finds out how the order ended, and the request that
// the proposer sends again leads to no second one.
func TestOrderOfALostLeaderRunsOnce(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(3, machine.RuleNone)
	leader := sim.waitForLeader()
	leader.step(machine.Submit{ID: 1, Command: replicated.SetFencing{Server: engineID, Checks: true, Operator: "o"}})
	sim.runWithEngine(2 * time.Second)
	request := proposedRoleChange(7777, fleet.Prefill)
	leader.step(machine.Received{From: "vm-5", Message: request})
	for i := 0; i < 4000 && len(leader.pendingOrders) == 0; i++ {
		if i%20 == 0 {
			sim.reportAll()
		}
		sim.advance()
	}
	c.Assert(leader.pendingOrders, qt.HasLen, 1)
	sim.engine.applyOrder(sim, leader.pendingOrders[0].order.Order.Fence, fleet.Prefill)
	leader.crash()
	next := sim.nextLeader(leader)
	sim.runWithEngine(10 * time.Second)
	executed := sim.executedOrders
	next.step(machine.Received{From: "vm-5", Message: request})
	sim.runWithEngine(10 * time.Second)
	c.Assert(sim.executedOrders, qt.Equals, executed)
	c.Assert(sim.violation, qt.Equals, "")
}

// TestRefusedOrderStaysRefused refuses an order while another one is in progress, and
// delivers its request once more when that one has settled. The proposer may know that
// the order did not run.
func TestRefusedOrderStaysRefused(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, machine.RuleNone)
	leader := sim.waitForLeader()
	sim.runWithEngine(2 * time.Second)
	leader.step(machine.Received{From: "vm-5", Message: proposedRoleChange(7777, fleet.Prefill)})
	n := sim.node("vm-4")
	refused := 0
	sim.onAnswer = func(at *node, a machine.Answer) {
		if at == n && fault.Is(a.Result.Err, fault.Conflict) {
			refused++
		}
	}
	n.submitRoleChange(fleet.Decode)
	id := n.nextID
	sim.runWithEngine(10 * time.Second)
	c.Assert(refused, qt.Equals, 1)
	leader.step(machine.Received{From: "vm-4", Message: proposedRoleChange(id, fleet.Decode)})
	sim.runWithEngine(10 * time.Second)
	c.Assert(sim.executedOrders, qt.Equals, 1)
	c.Assert(sim.engine.role, qt.Equals, fleet.Prefill)
}

// TestOldOrderOwnerStaysAliveThroughAHandover cuts a leader off right after it has sent an
// order, which the engine carries out late. Both leaders are alive and reach the engine.
// The successor gets the same request and another one; the engine must see the first
// order once, and no order may run out of turn.
func TestOldOrderOwnerStaysAliveThroughAHandover(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 20; seed++ {
		sim := newSimulation(seed, machine.RuleNone)
		old := sim.waitForLeader()
		sim.runWithEngine(2 * time.Second)
		request := proposedRoleChange(7777, fleet.Prefill)
		old.step(machine.Received{From: "vm-5", Message: request})
		for i := 0; i < 4000 && len(old.pendingOrders) == 0; i++ {
			if i%20 == 0 {
				sim.reportAll()
			}
			sim.advance()
		}
		c.Assert(old.pendingOrders, qt.HasLen, 1)
		old.pendingOrders[0].at = sim.now.Add(6 * time.Second)
		old.isolated = true
		next := sim.nextLeader(old)
		next.step(machine.Received{From: "vm-5", Message: request})
		next.step(machine.Received{From: "vm-4", Message: proposedRoleChange(1, fleet.Decode)})
		sim.runWithEngine(10 * time.Second)
		old.isolated = false
		sim.runWithEngine(20 * time.Second)
		c.Assert(sim.violation, qt.Equals, "", qt.Commentf("seed %d", seed))
		c.Assert(sim.executedOrders, qt.Equals, 1, qt.Commentf("seed %d", seed))
		c.Assert(sim.engine.role, qt.Equals, fleet.Prefill, qt.Commentf("seed %d", seed))
	}
}
