package machine_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
)

// openWorld is a world whose settings name three replicas. Two more take part, and
// any may lose its disk or be replaced, one at a time.
type openWorld struct {
	*world
	// reuses lets a lost disk keep its identity, as a broken deployment would.
	reuses bool
	// pending are the versions proposed, by the id of the proposal; acked is the
	// highest version acknowledged.
	pending map[uint64]uint64
	next    uint64
	acked   uint64
	// calm is when the next replica may be lost.
	calm time.Time
}

func newOpenWorld(seed uint64, broken machine.Rule) *openWorld {
	w := &openWorld{world: newWorld(seed, broken), pending: map[uint64]uint64{}}
	w.open = true
	for range 2 {
		w.join()
	}
	for _, n := range w.nodes {
		n.crash()
		n.disk = consensus.DurableState{}
		n.start()
	}
	w.settle()
	w.calm = w.now.Add(catchUp)
	return w
}

// catchUp is the time in which a replica that lost its disk has joined again.
const catchUp = 8 * time.Second

// join adds a replica that the settings don't name. Where one is gone, the settings
// of later starts name three that are up.
func (w *openWorld) join() *node {
	n := w.addNode(false)
	n.replica = true
	named := 0
	for _, o := range w.nodes {
		o.seed = o.replica && o != n && !o.down && named < replicas
		if o.seed {
			named++
		}
	}
	return n
}

// disturb loses one disk, replaces one replica, or stops all at once.
func (w *openWorld) disturb() {
	if w.now.Before(w.calm) {
		return
	}
	w.calm = w.now.Add(catchUp)
	up := slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.down || !n.replica })
	n := up[w.rng.IntN(len(up))]
	switch w.rng.IntN(5) {
	case 0, 1:
		w.loseDisk(n)
		n.start()
	case 2:
		if len(up) > 3 {
			// Gone for good; its identity counts until it is taken out.
			w.loseDisk(n)
			w.calm = w.calm.Add(n.m.Timing().ReplicaRemoveAfter)
			w.join().start()
		}
	case 3:
		w.powerLoss(w.isGone)
	case 4:
		w.cutBoth(n, up[w.rng.IntN(len(up))])
	}
}

func (w *openWorld) loseDisk(n *node) {
	n.crash()
	n.disk = consensus.DurableState{}
	n.founder = false
	if !w.reuses {
		n.identity = ""
	}
}

func (w *openWorld) isGone(n *node) bool { return n.down }

// change proposes a later version of the routes.
func (w *openWorld) change() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if n.down {
		return
	}
	w.next++
	n.nextID++
	w.pending[n.nextID] = w.next
	n.step(machine.Submit{ID: n.nextID, Command: replicated.ReplaceRoutes{Document: &routes.Document{Version: w.next}}})
}

// openPlay plays changes and losses, and checks that what was acknowledged is
// there at the end.
func openPlay(seed uint64, broken machine.Rule, reuses bool) *openWorld {
	w := newOpenWorld(seed, broken)
	w.reuses = reuses
	w.count()
	for end := w.now.Add(70 * time.Second); w.now.Before(end) && w.problem == ""; {
		w.play(100 * time.Millisecond)
		w.change()
		w.disturb()
		if w.rng.IntN(20) == 0 {
			clear(w.cut)
		}
	}
	clear(w.cut)
	w.play(30 * time.Second)
	w.checkEnd()
	return w
}

// count notes what is acknowledged.
func (w *openWorld) count() {
	w.answers = func(_ *node, a machine.Answer) {
		if version := w.pending[a.ID]; a.Result.Err == nil {
			w.acked = max(w.acked, version)
		}
	}
}

// checkEnd holds once faults have ended for long.
func (w *openWorld) checkEnd() {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return !n.down && n.m.Leads() })
	if i < 0 {
		w.fail("no leader at the end")
		return
	}
	leader := w.nodes[i]
	if have := leader.m.Routes(); have < w.acked {
		w.fail("version %d was acknowledged; %s leads with %d", w.acked, leader.id, have)
	}
	members := leader.m.Members()
	for _, n := range w.nodes {
		if n.replica && !n.down && !slices.Contains(members.Voters, n.identity) {
			w.fail("%s does not vote as %s", n.id, n.identity)
		}
	}
	before := w.acked
	for range 20 {
		w.change()
		w.play(200 * time.Millisecond)
	}
	if w.acked == before {
		w.fail("no change is acknowledged any more")
	}
}

func TestAnOpenMembershipLosesNothing(t *testing.T) {
	c := qt.New(t)
	for seed := *firstSeed; seed < *firstSeed+uint64(*runs)/2; seed++ {
		w := openPlay(seed, machine.RuleNone, false)
		c.Assert(w.problem, qt.Equals, "", qt.Commentf("seed %d", seed))
		c.Assert(w.acked > 100, qt.IsTrue, qt.Commentf("seed %d: only %d versions", seed, w.acked))
	}
}

// silentThenLost cuts one of three replicas off for longer than silence is borne,
// and then another one loses its disk.
func silentThenLost(seed uint64, broken machine.Rule, reuses bool) *openWorld {
	w := newOpenWorld(seed, broken)
	w.reuses = reuses
	w.count()
	for _, n := range w.nodes[replicas+entries:] {
		n.crash()
	}
	leader := w.settleUp()
	w.play(2 * leader.m.Timing().ReplicaRemoveAfter)
	leader = w.settleUp()
	others := slices.DeleteFunc(slices.Clone(w.nodes[:replicas]), func(n *node) bool { return n == leader })
	silent, lost := others[0], others[1]
	silent.isolated = true
	w.change()
	w.play(leader.m.Timing().ReplicaRemoveAfter + 3*time.Second)
	silent.isolated = false
	w.loseDisk(lost)
	lost.start()
	w.play(20 * time.Second)
	w.checkEnd()
	return w
}

// settleUp returns the leader among the nodes that are up.
func (w *openWorld) settleUp() *node {
	for range 4000 {
		w.advance()
		for _, n := range w.nodes {
			if !n.down && n.m.Leads() {
				return n
			}
		}
	}
	w.fail("no leader came up")
	return w.nodes[0]
}

// TestAnOpenMembershipNeedsItsRules: a lost disk under its old identity, or silent
// voters taken out of the last three, lose what was acknowledged or the quorum.
func TestAnOpenMembershipNeedsItsRules(t *testing.T) {
	const mostSeeds = 40
	for _, test := range []struct {
		name   string
		broken machine.Rule
		reuses bool
		// seed is the first one tried.
		seed uint64
		play func(seed uint64, broken machine.Rule, reuses bool) *openWorld
	}{
		{"identity ends with its disk", machine.RuleNone, true, 24, openPlay},
		{"keep three voters", machine.RuleKeepVoters, false, 1, silentThenLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := test.seed; seed < test.seed+mostSeeds; seed++ {
				w := test.play(seed, test.broken, test.reuses)
				if w.problem == "" {
					continue
				}
				t.Logf("seed %d: %s", seed, w.problem)
				qt.Assert(t, test.play(seed, machine.RuleNone, false).problem, qt.Equals, "")
				return
			}
			t.Fatalf("no seed up to %d noticed the loss of the rule", test.seed+mostSeeds-1)
		})
	}
}
