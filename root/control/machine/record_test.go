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

// TestServersAreKnownAfterAPowerLoss: views show the servers of before, in their
// state, before any has spoken again.
func TestServersAreKnownAfterAPowerLoss(t *testing.T) {
	c := qt.New(t)
	for _, state := range []fleet.State{fleet.Active, fleet.Draining} {
		w := newWorld(1, machine.RuleNone)
		w.settle()
		w.announceState(w.nodes[replicas], 1, state)
		w.play(2 * time.Second)
		c.Assert(w.shown(state), qt.IsTrue)
		w.powerLoss(nobody)
		w.settle()
		w.play(time.Second)
		c.Assert(w.shown(state), qt.IsTrue)
	}
}

// TestAServerThatLeftIsNotKnownAfterAPowerLoss also holds for one that fell silent.
func TestAServerThatLeftIsNotKnownAfterAPowerLoss(t *testing.T) {
	c := qt.New(t)
	for _, silent := range []bool{false, true} {
		w := newWorld(1, machine.RuleNone)
		w.settle()
		w.announceState(w.nodes[replicas], 1, fleet.Active)
		w.play(2 * time.Second)
		if !silent {
			w.nodes[replicas].step(machine.Departed{Server: engineID, Incarnation: 1})
		}
		w.play(7 * time.Second)
		w.powerLoss(nobody)
		w.settle()
		w.play(time.Second)
		for _, n := range w.nodes {
			c.Assert(n.view.Servers, qt.HasLen, 0)
		}
	}
}

// powerLoss restarts everything but what is away for good; what was on its way is
// lost.
func (w *world) powerLoss(away func(*node) bool) {
	var back []*node
	for _, n := range w.nodes {
		if !away(n) {
			n.crash()
			back = append(back, n)
		}
	}
	w.mail = nil
	for _, n := range back {
		n.start()
	}
}

func nobody(*node) bool { return false }

// TestALargeFleetIsRecordedInParts: more servers than one record takes are all known
// after a loss of power.
func TestALargeFleetIsRecordedInParts(t *testing.T) {
	c := qt.New(t)
	const servers = 1500
	w := newWorld(1, machine.RuleNone)
	w.settle()
	entry := w.nodes[replicas]
	for i := range servers {
		id := fmt.Sprintf("engine-%d", i)
		entry.step(machine.Announced{Server: fleet.Server{
			ID: id, Incarnation: 1, Sequence: 1, Address: "http://" + id, Targets: []string{"assistant"}, Slots: 8,
		}})
	}
	w.play(4 * time.Second)
	w.powerLoss(nobody)
	w.settle()
	w.play(2 * time.Second)
	for _, n := range w.nodes {
		c.Assert(n.view.Servers, qt.HasLen, servers)
	}
}

// TestAServerThatCannotBeRecordedIsLeftOut: the log does not grow by a record that is
// refused again and again, and other servers are recorded beside it.
func TestAServerThatCannotBeRecordedIsLeftOut(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, machine.RuleNone)
	leader := w.settle()
	entry := w.nodes[replicas]
	entry.step(machine.Announced{Server: fleet.Server{
		ID: strings.Repeat("x", 1000), Incarnation: 1, Sequence: 1, Address: "http://long", Targets: []string{"assistant"}, Slots: 8,
	}})
	w.announceState(entry, 1, fleet.Active)
	// In all shorter than the silence after which a server is suspected.
	w.play(2 * time.Second)
	before := leader.m.LastIndex()
	w.play(2 * time.Second)
	c.Assert(leader.m.LastIndex(), qt.Equals, before)
	w.powerLoss(nobody)
	w.settle()
	w.play(time.Second)
	c.Assert(w.shown(fleet.Active), qt.IsTrue)
}
