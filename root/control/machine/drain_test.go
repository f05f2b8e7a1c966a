package machine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// announceState is a backend server's own word about its state.
func (w *world) announceState(at *node, sequence uint64, state fleet.State) {
	at.step(machine.Announced{Server: fleet.Server{
		ID: engineID, Incarnation: 1, Sequence: sequence, Address: "http://engine",
		Targets: []string{"assistant"}, Slots: 8, State: state,
	}})
}

// shown reports whether all nodes that are up show the engine in the state.
func (w *world) shown(state fleet.State) bool {
	for _, n := range w.nodes {
		if n.down {
			continue
		}
		if len(n.view.Servers) != 1 || n.view.Servers[0].State != state {
			return false
		}
	}
	return true
}

// TestAnAnnouncedDrainOutlivesTheLeader: a server that said it drains gets no new
// work from the views of the next leader either, before it speaks again.
func TestAnAnnouncedDrainOutlivesTheLeader(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 10; seed++ {
		w := newWorld(seed, machine.RuleNone)
		leader := w.settle()
		entry := w.nodes[replicas]
		w.announceState(entry, 1, fleet.Active)
		w.play(2 * time.Second)
		c.Assert(w.shown(fleet.Active), qt.IsTrue)
		w.announceState(entry, 2, fleet.Draining)
		w.play(2 * time.Second)
		c.Assert(w.shown(fleet.Draining), qt.IsTrue)
		// What the entry heard is not told to the next leader.
		entry.crash()
		leader.crash()
		for end := w.now.Add(4 * time.Second); w.now.Before(end); {
			w.advance()
			c.Assert(w.shown(fleet.Draining), qt.IsTrue, qt.Commentf("seed %d", seed))
		}
	}
}

// TestALeaveOfAnUnknownServerReachesAll: the process that a server tells that it
// stops may not know it yet.
func TestALeaveOfAnUnknownServerReachesAll(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, machine.RuleNone)
	w.settle()
	entry := w.nodes[replicas]
	entry.isolated = true
	w.announceState(w.nodes[replicas+1], 1, fleet.Active)
	w.play(500 * time.Millisecond)
	c.Assert(entry.view.Servers, qt.HasLen, 0)
	entry.step(machine.Departed{Server: engineID, Incarnation: 1})
	entry.isolated = false
	w.play(3 * time.Second)
	c.Assert(w.shown(fleet.Leaving), qt.IsTrue)
	w.announceState(w.nodes[replicas+1], 2, fleet.Active)
	w.play(time.Second)
	c.Assert(w.shown(fleet.Leaving), qt.IsTrue)
}

// TestALeaveBeforeTheFirstAnnouncementIsFinal: a late announcement of a server
// that has left brings it into no view.
func TestALeaveBeforeTheFirstAnnouncementIsFinal(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, machine.RuleNone)
	w.settle()
	w.nodes[replicas].step(machine.Departed{Server: engineID, Incarnation: 1})
	w.play(time.Second)
	w.announceState(w.nodes[replicas+1], 1, fleet.Active)
	w.play(2 * time.Second)
	for _, n := range w.nodes {
		c.Assert(n.view.Servers, qt.HasLen, 0)
	}
}

// TestALeaveOfAnEarlierStartChangesNothing, and one that names no start means the
// present one.
func TestALeaveOfAnEarlierStartChangesNothing(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		incarnation uint64
		want        fleet.State
	}{{1, fleet.Active}, {2, fleet.Leaving}, {0, fleet.Leaving}} {
		w := newWorld(1, machine.RuleNone)
		w.settle()
		entry := w.nodes[replicas]
		entry.step(machine.Announced{Server: fleet.Server{
			ID: engineID, Incarnation: 2, Sequence: 1, Address: "http://engine", Targets: []string{"assistant"}, Slots: 8,
		}})
		w.play(time.Second)
		entry.step(machine.Departed{Server: engineID, Incarnation: test.incarnation})
		w.play(time.Second)
		c.Assert(w.shown(test.want), qt.IsTrue, qt.Commentf("incarnation %d", test.incarnation))
	}
}

// TestALeaveOutlivesTheLeaderThatHeardIt: it is said once, and the leader may end
// before anybody else knows.
func TestALeaveOutlivesTheLeaderThatHeardIt(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 10; seed++ {
		w := newWorld(seed, machine.RuleNone)
		leader := w.settle()
		entry := w.nodes[replicas]
		w.announceState(w.nodes[replicas+1], 1, fleet.Active)
		w.play(2 * time.Second)
		for _, n := range w.nodes {
			if n != entry {
				w.cutBoth(leader, n)
			}
		}
		entry.step(machine.Departed{Server: engineID, Incarnation: 1})
		// Long enough for a second Renew that need not say it again.
		w.play(560 * time.Millisecond)
		leader.crash()
		clear(w.cut)
		w.play(5 * time.Second)
		c.Assert(w.shown(fleet.Leaving), qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}

// TestAnAnnouncementIsReportedOnce bounds what a Renew carries: what the leader has
// answered for is not said again.
func TestAnAnnouncementIsReportedOnce(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, machine.RuleNone)
	w.settle()
	w.play(time.Second)
	w.announceState(w.nodes[replicas], 1, fleet.Active)
	reports := 0
	for end := w.now.Add(3 * time.Second); w.now.Before(end); {
		w.advance()
		reports += w.reportsOnTheWay()
	}
	c.Assert(reports > 0 && reports <= 4, qt.IsTrue, qt.Commentf("seen on the way %d times", reports))
}

// reportsOnTheWay counts the Renews under way that carry an announcement.
func (w *world) reportsOnTheWay() int {
	n := 0
	for _, m := range w.mail {
		if r, ok := m.msg.(machine.Renew); ok && len(r.Heard) > 0 {
			n++
		}
	}
	return n
}
