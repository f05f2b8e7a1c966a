package machine_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
)

const (
	// contactTime is the time after a disturbance from which bounds hold again.
	contactTime = 3 * time.Second
	// restartTime is the time after which killed processes run again.
	restartTime = 500 * time.Millisecond
	// shortReplacementInterval is the shortest time between two losses: a successor starts
	// after successorDelay and counts as lost for catchUpTime.
	shortReplacementInterval = successorDelay + catchUpTime
)

// replaceInSeries replaces one replica after the other, the leader first.
func (sim *openSimulation) replaceInSeries(count int) {
	for range count {
		sim.replace(sim.waitForLiveLeader())
		sim.runFor(shortReplacementInterval - successorDelay)
	}
}

// upReplicas returns the replicas that are up.
func (sim *openSimulation) upReplicas() []*node {
	return slices.DeleteFunc(slices.Clone(sim.nodes), func(n *node) bool { return n.down || !n.replica })
}

// awaitAck runs until the last proposed version is acknowledged.
func (sim *openSimulation) awaitAck() {
	for range 2000 {
		if sim.ackedVersion == sim.lastVersion {
			return
		}
		sim.advance()
	}
	sim.fail("version %d was not acknowledged", sim.lastVersion)
}

// killReplicas kills all replicas right after a change was acknowledged of which no VM heard,
// and starts them again.
func (sim *openSimulation) killReplicas() {
	sim.waitForLiveLeader()
	sim.dropGrants = true
	n := sim.upReplicas()[0]
	sim.lastVersion++
	n.nextID++
	sim.pending[n.nextID] = sim.lastVersion
	n.step(machine.Submit{ID: n.nextID, Command: replicated.ReplaceRoutes{Document: &routes.Document{Version: sim.lastVersion}}})
	sim.awaitAck()
	victims := sim.upReplicas()
	for _, v := range victims {
		v.crash()
	}
	sim.dropGrants = false
	sim.runFor(restartTime)
	for _, v := range victims {
		v.start()
	}
}

// timeSearch kills five replicas, some of which were replaced shortly before, and returns the
// time from their start until every VM had the acknowledged routes and every replica had
// answered a read of them.
func timeSearch(c *qt.C, seed uint64, replaced int) (views, reads time.Duration) {
	sim := newOpenSimulation(seed, machine.RuleNone)
	sim.trackAcks()
	sim.runFor(rejoinTime)
	sim.replaceInSeries(replaced)
	sim.killReplicas()
	started := sim.now
	sim.waitForLiveLeader()
	c.Assert(sim.violation, qt.Equals, "", qt.Commentf("seed %d", seed))
	waiting, unread := map[*node]bool{}, map[*node]bool{}
	sim.onAnswer = func(n *node, a machine.Answer) {
		if a.Result.Err == nil && a.Result.Version >= sim.ackedVersion {
			delete(unread, n)
		}
	}
	for _, n := range sim.nodes {
		waiting[n] = !n.down
	}
	for _, n := range sim.upReplicas() {
		unread[n] = true
		n.nextID++
		n.step(machine.Submit{ID: n.nextID, Command: replicated.ReadRoutes{}})
	}
	for sim.now.Sub(started) < time.Minute {
		maps.DeleteFunc(waiting, func(n *node, up bool) bool {
			return !up || n.view.Routes != nil && n.view.Routes.Version >= sim.ackedVersion
		})
		if len(waiting)+len(unread) == 0 {
			break
		}
		sim.advance()
		if len(waiting) > 0 {
			views = sim.now.Sub(started)
		}
		if len(unread) > 0 {
			reads = sim.now.Sub(started)
		}
	}
	return views, reads
}

// TestEntriesFindALeaderThatKnowsNoVMs kills all of five replicas after a series of
// replacements. The next leader has no view, so it can't announce itself, and each VM looks
// for it among replicas of which half are gone.
func TestEntriesFindALeaderThatKnowsNoVMs(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 40; seed++ {
		views, reads := timeSearch(c, seed, 5)
		c.Check(views < contactTime, qt.IsTrue, qt.Commentf("seed %d: all VMs have the routes after %s", seed, views))
		c.Check(reads < contactTime, qt.IsTrue, qt.Commentf("seed %d: all replicas have answered a read after %s", seed, reads))
	}
}

// TestHintsToALostLeaderDoNotEndTheSearch gives VMs three replicas: one that is gone, one that
// takes it for the leader, and the leader. Each VM asks them in an order of its own.
func TestHintsToALostLeaderDoNotEndTheSearch(t *testing.T) {
	c := qt.New(t)
	for i := range 20 {
		now := time.Unix(1_000_000, 0)
		started := now
		id := fmt.Sprintf("vm-%d", i)
		m := machine.New(machine.Config{
			Self: fleet.VM{ID: id, Incarnation: 1}, Replicas: []string{"gone", "misled", "leader"}, Timing: machine.DefaultTiming(),
		}, now)
		found := false
		for !found && now.Sub(started) < contactTime {
			var ev machine.Event = machine.Wake{}
			for range maxConsecutiveWakes {
				effects := m.Step(now, ev)
				ev = nil
				for _, e := range effects {
					if send, ok := e.(machine.Send); ok {
						found = found || send.To == "leader"
						if send.To == "misled" {
							ev = machine.Received{From: "misled", Message: machine.NotLeader{Leader: "gone"}}
						}
					}
				}
				if ev == nil {
					break
				}
			}
			now = now.Add(stepTime)
		}
		c.Check(found, qt.IsTrue, qt.Commentf("%s never asked the leader", id))
	}
}
