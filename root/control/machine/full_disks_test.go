package machine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
)

// TestDisksFullInTurnLeaveNoChangeUnanswered fills the disk of each replica for a few
// seconds, one after the other, while changes of the routes come at every node. During that
// time and afterwards each change must be acknowledged within a few seconds.
func TestDisksFullInTurnLeaveNoChangeUnanswered(t *testing.T) {
	const (
		fullTime = 4 * time.Second
		pause    = 500 * time.Millisecond
		rounds   = 3
		// answerTime includes a change of leader.
		answerTime = 3 * time.Second
	)
	for seed := uint64(1); seed <= 10; seed++ {
		c := qt.New(t)
		sim := newOpenSimulation(seed, machine.RuleNone)
		answered := map[uint64]bool{}
		sim.onAnswer = func(_ *node, a machine.Answer) {
			if a.Result.Err == nil {
				answered[a.Result.Version] = true
			}
		}
		version := uint64(0)
		change := func() {
			version++
			n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
			n.nextID++
			d := &routes.Document{Version: version, Source: []byte("{}")}
			n.step(machine.Submit{ID: n.nextID, Command: replicated.ReplaceRoutes{Document: d}})
			for until := sim.now.Add(answerTime); !answered[version] && sim.now.Before(until); {
				sim.advance()
			}
			c.Assert(answered[version], qt.IsTrue, qt.Commentf("seed %d: version %d at %s", seed, version, sim.now.Sub(time.Unix(1_000_000, 0))))
		}
		sim.runFor(rejoinTime)
		for range rounds {
			for _, n := range sim.nodes {
				if !n.replica {
					continue
				}
				n.diskFullUntil = sim.now.Add(fullTime)
				for sim.now.Before(n.diskFullUntil) {
					change()
					sim.runFor(200 * time.Millisecond)
				}
				sim.runFor(pause)
			}
		}
		for range 20 {
			change()
			sim.runFor(200 * time.Millisecond)
		}
		c.Assert(sim.violation, qt.Equals, "")
	}
}
