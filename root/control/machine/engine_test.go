package machine_test

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// engineModel is a backend server: streams in flight and orders carried out.
type engineModel struct {
	role  fleet.Role
	fence uint64
}

// send is an order on its way.
type send struct {
	at    time.Time
	order machine.IssueOrder
}

// issue puts an order on its way. The engine ignores fencing numbers; an order
// lands once, up to two seconds later, while its sender is up.
func (n *node) issue(e machine.IssueOrder) {
	w := n.w
	w.orders++
	if e.Observe {
		applied := w.engine.role == e.Order.Action.Role
		n.step(machine.OrderDone{Server: e.Server.ID, Fence: e.Order.Fence, Applied: applied})
		return
	}
	n.sends = append(n.sends, send{at: w.now.Add(w.jitter(2 * time.Second)), order: e})
	slices.SortFunc(n.sends, func(a, b send) int { return a.at.Compare(b.at) })
}

// land carries out what is due and tells the sender.
func (n *node) land() {
	for len(n.sends) > 0 && !n.sends[0].at.After(n.w.now) {
		e := n.sends[0].order
		n.sends = n.sends[1:]
		n.w.engine.take(n.w, e.Order.Fence, e.Order.Action.Role)
		n.w.settled++
		n.step(machine.OrderDone{Server: e.Server.ID, Fence: e.Order.Fence, Applied: true})
	}
}

// take changes the role. Streams must have ended, and no newer order come first.
func (m *engineModel) take(w *world, fence uint64, role fleet.Role) {
	if fence < m.fence {
		w.fail("order %d landed after order %d", fence, m.fence)
	}
	if cut := w.streams(); cut > 0 {
		w.fail("an order cut %d streams", cut)
	}
	m.fence = fence
	m.role = role
}

func (w *world) streams() int {
	sum := 0
	for _, n := range w.nodes {
		if !n.down {
			sum += n.streams
		}
	}
	return sum
}

// order asks for a change of the engine's role.
func (n *node) order(role fleet.Role) {
	n.nextID++
	n.step(machine.Submit{ID: n.nextID, Command: replicated.RecordOrder{RecordOrder: authority.RecordOrder{
		Server: engineID, Action: authority.Action{Kind: authority.ChangeRole, Role: role},
	}}})
}

// announce is the engine's own word, with its true load.
func (w *world) announce() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if n.down || n.paused() {
		return
	}
	n.step(machine.Announced{Server: fleet.Server{
		ID: engineID, Incarnation: 1, Address: "http://engine", Targets: []string{"assistant"}, Slots: 8,
		Role: w.engine.role, Load: fleet.Load{Running: w.streams()},
	}})
}
