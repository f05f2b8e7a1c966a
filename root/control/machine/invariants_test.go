package machine_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// Replay one seed of TestSimulationInvariants with:
//
//	go test ./root/control/machine -run TestSimulationInvariants -machine.seed=N -machine.runs=1
//
// A single seed may fail the checks of the totals. -machine.runs=2 replays one seed of
// TestOpenMembershipKeepsAcknowledgedChanges.
var (
	firstSeed = flag.Uint64("machine.seed", 1, "first seed")
	runs      = flag.Int("machine.runs", 12, "number of seeds")
)

const runDuration = 40 * time.Second

// runSeed runs one seed until the end or the first violated invariant.
func runSeed(seed uint64, disabled machine.SafetyRule) *simulation {
	sim := newSimulation(seed, disabled)
	end := sim.now.Add(runDuration)
	for i := 0; sim.now.Before(end) && sim.violation == ""; i++ {
		sim.advance()
		if i%20 == 0 {
			sim.announceEngine()
		}
		for _, n := range sim.nodes {
			if !n.down && !n.paused() && sim.rng.IntN(40) == 0 {
				n.varyLoad()
			}
		}
		sim.injectFault()
	}
	return sim
}

// injectFault injects a random fault or change, or repairs a fault, in some steps.
func (sim *simulation) injectFault() {
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	usable := !n.down && !n.paused()
	switch sim.rng.IntN(400) {
	case 0, 1, 2, 3, 4, 5:
		if usable {
			n.propose()
		}
	case 6, 7:
		if usable {
			n.submitRoleChange([]fleet.Role{fleet.Mixed, fleet.Prefill, fleet.Decode}[sim.rng.IntN(3)])
		}
	case 8:
		if usable && sim.unreachableCount() == 0 {
			n.crash()
		}
	case 9, 10, 11, 12:
		if n.down {
			n.start()
		}
	case 13:
		if usable {
			n.pausedUntil = sim.now.Add(sim.randomDelay(6 * time.Second))
		}
	case 14:
		n.isolated = sim.rng.IntN(2) == 0 && usable
	case 15, 16, 17:
		n.isolated = false
	case 18, 19, 20:
		sim.partition(n, sim.nodes[sim.rng.IntN(replicas)])
	case 21, 22:
		clear(sim.blocked)
	}
}

func (sim *simulation) unreachableCount() int {
	count := 0
	for _, n := range sim.nodes {
		if n.down || n.isolated {
			count++
		}
	}
	return count
}

func TestSimulationInvariants(t *testing.T) {
	c := qt.New(t)
	changes, executed := 0, 0
	for seed := *firstSeed; seed < *firstSeed+uint64(*runs); seed++ {
		sim := runSeed(seed, machine.RuleNone)
		c.Assert(sim.violation, qt.Equals, "", qt.Commentf("seed %d", seed))
		changes += sim.acceptedChanges
		executed += sim.executedOrders
	}
	t.Logf("%d changes accepted, %d orders carried out", changes, executed)
	c.Assert(changes > 3**runs, qt.IsTrue, qt.Commentf("only %d changes accepted", changes))
	c.Assert(executed > 0, qt.IsTrue)
}

// TestDisabledRuleBreaksInvariant disables one rule at a time and expects a
// violation. The same scenario with all rules enforced must pass.
func TestDisabledRuleBreaksInvariant(t *testing.T) {
	tests := []struct {
		name     string
		rule     machine.SafetyRule
		scenario func(seed uint64, disabled machine.SafetyRule) *simulation
	}{
		{"lease from send", machine.RuleLeaseFromSend, delayedGrant},
		{"earlier leases", machine.RuleAwaitEarlierLeases, runSeed},
		{"await holders", machine.RuleAwaitHolders, runSeed},
		{"view order", machine.RuleMonotonicViews, delayedUpdate},
		{"leader lease", machine.RuleLeaderLease, pausedLeader},
		{"drain before send", machine.RuleDrainBeforeOrder, runSeed},
		{"own orders", machine.RuleLeaveOwnOrders, regainedLeadership},
	}
	const maxSeeds = 200
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := uint64(1); seed <= maxSeeds; seed++ {
				sim := test.scenario(seed, test.rule)
				if sim.violation == "" {
					continue
				}
				t.Logf("seed %d: %s", seed, sim.violation)
				qt.Assert(t, test.scenario(seed, machine.RuleNone).violation, qt.Equals, "")
				return
			}
			t.Fatalf("no seed up to %d detected the disabled rule", maxSeeds)
		})
	}
}

// waitForLeader runs until there is a leader and all nodes are ready.
func (sim *simulation) waitForLeader() *node {
	for range 1200 {
		sim.advance()
		for _, n := range sim.nodes {
			if n.m.Leads() && sim.allReady() {
				return n
			}
		}
	}
	sim.fail("no leader with all nodes ready")
	return sim.nodes[0]
}

func (sim *simulation) allReady() bool {
	for _, n := range sim.nodes {
		if !n.ready() {
			return false
		}
	}
	return true
}

func (sim *simulation) runFor(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end) && sim.violation == ""; {
		sim.advance()
	}
}

// delayedGrant pauses an entry just before a Grant reaches it, for longer than the
// lease, while a table change completes without it.
func delayedGrant(seed uint64, disabled machine.SafetyRule) *simulation {
	sim := newSimulation(seed, disabled)
	leader := sim.waitForLeader()
	sim.runFor(leader.m.Timing().ViewLease)
	entry := sim.nodes[len(sim.nodes)-1]
	for !sim.hasGrantFor(entry) {
		sim.advance()
	}
	entry.pausedUntil = sim.now.Add(5 * time.Second)
	sim.partition(entry, leader)
	leader.propose()
	sim.runFor(7 * time.Second)
	return sim
}

// delayedUpdate delays a complete view to an entry until it has applied a later table.
func delayedUpdate(seed uint64, disabled machine.SafetyRule) *simulation {
	sim := newSimulation(seed, disabled)
	leader := sim.waitForLeader()
	leader.propose()
	sim.runFor(5 * time.Second)
	entry := sim.nodes[len(sim.nodes)-1]
	entry.crash()
	entry.start()
	var delayed machine.Grant
	for range 1000 {
		sim.advance()
		if g, ok := sim.takeCompleteView(entry); ok {
			delayed = g
			break
		}
	}
	if delayed.Update == nil {
		sim.fail("the entry was sent no complete view")
		return sim
	}
	leader.propose()
	sim.runFor(5 * time.Second)
	entry.step(machine.Received{From: leader.id, Message: delayed})
	sim.runFor(2 * time.Second)
	return sim
}

// takeCompleteView removes a Grant with a complete view for a node from the network.
func (sim *simulation) takeCompleteView(n *node) (machine.Grant, bool) {
	for i, m := range sim.packets {
		g, ok := m.msg.(machine.Grant)
		if ok && m.to == n.id && g.Update != nil && g.Update.Base == 0 && g.Update.Table != nil && g.Update.Table.Version > 0 {
			sim.packets = slices.Delete(sim.packets, i, i+1)
			return g, true
		}
	}
	return machine.Grant{}, false
}

func (sim *simulation) hasGrantFor(n *node) bool {
	for _, m := range sim.packets {
		if g, ok := m.msg.(machine.Grant); ok && m.to == n.id && g.Lease > 0 {
			return true
		}
	}
	return false
}

// pausedLeader pauses the leader while another one is elected and completes a table
// change. One entry can reach only the paused leader.
func pausedLeader(seed uint64, disabled machine.SafetyRule) *simulation {
	sim := newSimulation(seed, disabled)
	old := sim.waitForLeader()
	sim.runFor(old.m.Timing().ViewLease)
	entry := sim.nodes[len(sim.nodes)-1]
	for _, r := range sim.nodes[:replicas] {
		if r != old {
			sim.partition(entry, r)
			sim.partition(old, r)
		}
	}
	old.pausedUntil = sim.now.Add(4200 * time.Millisecond)
	sim.runFor(2 * time.Second)
	for _, r := range sim.nodes[:replicas] {
		if r != old && r.m.Leads() {
			r.propose()
		}
	}
	sim.runFor(6 * time.Second)
	return sim
}

func (sim *simulation) partition(a, b *node) {
	sim.blocked[[2]string{a.id, b.id}] = true
	sim.blocked[[2]string{b.id, a.id}] = true
}

// regainedLeadership makes a leader lose leadership while its own order is delayed,
// and win it back. Then another order is submitted.
func regainedLeadership(seed uint64, disabled machine.SafetyRule) *simulation {
	sim := newSimulation(seed, disabled)
	leader := sim.waitForLeader()
	sim.runAnnouncing(2 * time.Second)
	leader.submitRoleChange(fleet.Prefill)
	for range 100 {
		sim.runAnnouncing(100 * time.Millisecond)
		if len(leader.pendingOrders) > 0 {
			break
		}
	}
	if len(leader.pendingOrders) == 0 {
		return sim
	}
	leader.pendingOrders[0].at = sim.now.Add(30 * time.Second)
	for _, r := range sim.nodes[:replicas] {
		sim.partition(leader, r)
	}
	sim.runAnnouncing(2 * time.Second)
	clear(sim.blocked)
	sim.runAnnouncing(time.Second)
	for _, r := range sim.nodes[:replicas] {
		if r != leader && r.m.Leads() {
			r.crash()
		}
	}
	sim.runAnnouncing(5 * time.Second)
	leader.submitRoleChange(fleet.Decode)
	sim.runAnnouncing(30 * time.Second)
	return sim
}

// runAnnouncing runs for d with regular announcements of the engine and traffic reports
// of all nodes.
func (sim *simulation) runAnnouncing(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end) && sim.violation == ""; {
		sim.announceEngine()
		for _, n := range sim.nodes {
			if !n.down {
				n.reportTraffic()
			}
		}
		sim.runFor(100 * time.Millisecond)
	}
}
