package machine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// TestTableChangeToAFleetDoesNotWaitForTheNextRenewal guards against VMs that renew while
// their push waits, and confirm the new table with their next Renew only.
func TestTableChangeToAFleetDoesNotWaitForTheNextRenewal(t *testing.T) {
	const vms = 300
	c := qt.New(t)
	sim := newSimulation(1, machine.RuleNone)
	sim.lossless = true
	for range vms {
		sim.addNode(false).start()
	}
	sim.waitForLeader()
	sim.runFor(5 * time.Second)
	for range 5 {
		answered := false
		sim.onAnswer = func(_ *node, a machine.Answer) { answered = a.Result.Err == nil }
		from := sim.now
		sim.nodes[replicas].propose()
		for !answered && sim.now.Sub(from) < 5*time.Second {
			sim.advance()
		}
		took := sim.now.Sub(from)
		c.Check(took < machine.DefaultTiming().RenewInterval, qt.IsTrue, qt.Commentf("answered after %s", took))
		sim.runFor(time.Second)
	}
}
