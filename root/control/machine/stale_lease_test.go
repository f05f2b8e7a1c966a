package machine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
)

// TestNoLeaseIsExtendedOnRoutesThatWereReplaced guards against entries that deny a route by
// a lease that they got after the route was acknowledged. The routes change while a push
// of a fleet change holds back the next one.
func TestNoLeaseIsExtendedOnRoutesThatWereReplaced(t *testing.T) {
	const vms = 300
	c := qt.New(t)
	sim := newSimulation(1, machine.RuleNone)
	sim.lossless = true
	for range vms {
		sim.addNode(false).start()
	}
	sim.waitForLeader()
	sim.runFor(5 * time.Second)
	n := sim.nodes[replicas]
	answered := false
	sim.onAnswer = func(_ *node, a machine.Answer) { answered = a.Result.Err == nil && a.Result.Version == 1 }
	sim.announceState(n, 1, fleet.Active)
	sim.runFor(50 * time.Millisecond)
	d := &routes.Document{Version: 1, Source: []byte("{}")}
	n.step(machine.Submit{ID: 99, Command: replicated.ReplaceRoutes{Document: d}})
	for until := sim.now.Add(time.Second); !answered && sim.now.Before(until); {
		sim.advance()
	}
	c.Assert(answered, qt.IsTrue)
	// A Grant may be on its way.
	sim.runFor(2 * maxNetDelay)
	leases := map[string]time.Time{}
	for _, n := range sim.nodes {
		leases[n.id] = n.view.LeaseUntil
	}
	extended := map[string]bool{}
	for until := sim.now.Add(time.Second); sim.now.Before(until); {
		sim.advance()
		for _, n := range sim.nodes {
			if n.view.Routes == nil && n.view.LeaseUntil.After(leases[n.id]) {
				extended[n.id] = true
			}
		}
	}
	c.Check(extended, qt.HasLen, 0)
}
