package machine_test

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// fakeEngine is a backend server that changes its role by orders.
type fakeEngine struct {
	role  fleet.Role
	fence uint64
}

// pendingOrder is an order that has been sent and not yet carried out.
type pendingOrder struct {
	at    time.Time
	order machine.IssueOrder
}

// issue sends an order. The engine carries it out once, up to two seconds later, if its
// sender is still up. It does not reject outdated fencing tokens; applyOrder reports a
// violation instead.
func (n *node) issue(e machine.IssueOrder) {
	sim := n.sim
	sim.issuedOrders++
	if e.Observe {
		applied := sim.engine.role == e.Order.Action.Role
		n.step(machine.OrderDone{Server: e.Server.ID, Fence: e.Order.Fence, Applied: applied})
		return
	}
	n.pendingOrders = append(n.pendingOrders, pendingOrder{at: sim.now.Add(sim.randomDelay(2 * time.Second)), order: e})
	slices.SortFunc(n.pendingOrders, func(a, b pendingOrder) int { return a.at.Compare(b.at) })
}

// completeOrders carries out the orders that are due and reports them to the
// sender.
func (n *node) completeOrders() {
	for len(n.pendingOrders) > 0 && !n.pendingOrders[0].at.After(n.sim.now) {
		e := n.pendingOrders[0].order
		n.pendingOrders = n.pendingOrders[1:]
		n.sim.engine.applyOrder(n.sim, e.Order.Fence, e.Order.Action.Role)
		n.sim.executedOrders++
		n.step(machine.OrderDone{Server: e.Server.ID, Fence: e.Order.Fence, Applied: true})
	}
}

// applyOrder changes the role. It fails the simulation if requests are in flight or a
// newer order came first.
func (e *fakeEngine) applyOrder(sim *simulation, fence uint64, role fleet.Role) {
	if fence < e.fence {
		sim.fail("order %d took effect after order %d", fence, e.fence)
	}
	if interrupted := sim.totalInFlight(); interrupted > 0 {
		sim.fail("an order interrupted %d requests", interrupted)
	}
	e.fence = fence
	e.role = role
}

func (sim *simulation) totalInFlight() int {
	sum := 0
	for _, n := range sim.nodes {
		if !n.down {
			sum += n.inFlight
		}
	}
	return sum
}

// submitRoleChange submits an order to change the engine's role.
func (n *node) submitRoleChange(role fleet.Role) {
	n.nextID++
	n.step(machine.Submit{ID: n.nextID, Command: replicated.RecordOrder{RecordOrder: authority.RecordOrder{
		Server: engineID, Action: authority.Action{Kind: authority.ChangeRole, Role: role},
	}}})
}

// announceEngine announces the engine with its actual load to a random node.
func (sim *simulation) announceEngine() {
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	if n.down || n.paused() {
		return
	}
	n.step(machine.Announced{Server: fleet.Server{
		ID: engineID, Incarnation: 1, Address: "http://engine", Targets: []string{"assistant"}, Slots: 8,
		Role: sim.engine.role, Load: fleet.Load{Running: sim.totalInFlight()},
	}})
}
