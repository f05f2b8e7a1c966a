package consensus

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestAColdStartIsShort: after a loss of power everywhere a leader stands before
// an election timeout has passed, which an ordinary election takes at least.
func TestAColdStartIsShort(t *testing.T) {
	check(t, t, *seed, 40, func(t *rapid.T) {
		w := newWorld(t, none)
		w.run(60, 50*time.Millisecond)
		w.powerCut()
		// Connections end with their processes.
		w.net = nil
		w.run(int(electionTimeout*3/4/(20*time.Millisecond)), 20*time.Millisecond)
		if w.pick((*node).leads) == nil {
			t.Fatal("no leader three quarters of an election timeout after the start")
		}
	})
}

// TestAColdStartNeedsEveryVoter: with one voter away the others wait as long as
// its lease could last.
func TestAColdStartNeedsEveryVoter(t *testing.T) {
	check(t, t, *seed, 40, func(t *rapid.T) {
		w := newWorld(t, none)
		w.run(60, 50*time.Millisecond)
		old := w.pick((*node).leads)
		w.isolate(old)
		for _, n := range w.nodes {
			if n != old {
				w.stop(n)
				n.start(w)
			}
		}
		w.net = nil
		w.run(int(electionTimeout*3/4/(20*time.Millisecond)), 20*time.Millisecond)
		if w.pick(func(n *node) bool { return n != old && n.leads() }) != nil {
			t.Fatal("a leader was elected beside one that may hold a lease")
		}
	})
}

// fresh returns one of three voters that has just started, and its clock.
func fresh(c *qt.C) (*Core, time.Time) {
	core, err := New(testConfig("a", 1), Restored{}, Members{Voters: []NodeID{"a", "b", "x"}})
	c.Assert(err, qt.IsNil)
	now := time.Unix(1000, 0)
	core.Tick(now)
	write(core, now)
	return core, now
}

// write makes durable what the core wants written and returns its messages.
func write(core *Core, now time.Time) []Message {
	out := core.Output()
	messages := out.Messages
	for out.Persist != nil {
		core.Persisted(now, out.Persist.Seq)
		out = core.Output()
		messages = append(messages, out.Messages...)
	}
	return messages
}

// TestAVoterThatWasNotUpDoesNotCount: it may have acknowledged a leader after the
// question was asked and before it started.
func TestAVoterThatWasNotUpDoesNotCount(t *testing.T) {
	c := qt.New(t)
	core, now := fresh(c)
	for core.cold.agreed == nil {
		now = core.NextWake()
		core.Tick(now)
	}
	reply := Message{Kind: MsgPreVoteReply, To: "a", Term: core.term + 1, Cold: true, Round: core.cold.round, Uptime: time.Second}
	reply.From = "b"
	now = now.Add(10 * time.Millisecond)
	core.Receive(now, reply)
	reply.From, reply.Uptime = "x", 10*time.Millisecond
	core.Receive(now, reply)
	c.Assert(core.role, qt.Equals, follower)
	reply.Uptime = time.Second
	core.Receive(now, reply)
	c.Assert(core.role, qt.Equals, candidate)
}

// TestAVoterThatFollowsKeepsNoColdPromise: the leader that it follows now may hold
// a lease.
func TestAVoterThatFollowsKeepsNoColdPromise(t *testing.T) {
	c := qt.New(t)
	for _, follows := range []bool{false, true} {
		core, now := fresh(c)
		core.Receive(now, Message{Kind: MsgPreVote, From: "b", To: "a", Term: 5, Cold: true, Round: 1})
		if follows {
			core.Receive(now, Message{Kind: MsgAppend, From: "x", To: "a", Term: 2, Round: 1})
		}
		write(core, now)
		core.Receive(now, Message{Kind: MsgVote, From: "b", To: "a", Term: 5, Cold: true})
		voted := false
		for _, m := range write(core, now) {
			voted = voted || m.Kind == MsgVoteReply && !m.Reject
		}
		c.Assert(voted, qt.Equals, !follows)
	}
}

// TestAColdVoteNeedsAPromise: a vote asked for without the question is refused.
func TestAColdVoteNeedsAPromise(t *testing.T) {
	c := qt.New(t)
	core, now := fresh(c)
	core.Receive(now, Message{Kind: MsgPreVote, From: "x", To: "a", Term: 5, Cold: true, Round: 1})
	write(core, now)
	core.Receive(now, Message{Kind: MsgVote, From: "b", To: "a", Term: 5, Cold: true})
	c.Assert(write(core, now), qt.HasLen, 0)
	c.Assert(core.term, qt.Equals, uint64(0))
}
