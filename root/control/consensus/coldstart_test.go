package consensus

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestColdStartElectsWithinElectionTimeout guards against a slow recovery from a
// power failure of the whole cluster: an ordinary election would take more than an
// election timeout, because restarted voters refuse votes for that long.
func TestColdStartElectsWithinElectionTimeout(t *testing.T) {
	checkProperty(t, t, *seed, 40, func(t *rapid.T) {
		sim := newSimulation(t, none)
		sim.run(60, 50*time.Millisecond)
		sim.restartAll()
		// Messages in flight are lost with the connections of the processes.
		sim.net = nil
		sim.run(int(electionTimeout*3/4/(20*time.Millisecond)), 20*time.Millisecond)
		if sim.pickNode((*node).isLeader) == nil {
			t.Fatal("no leader 3/4 of an election timeout after the restart")
		}
	})
}

// TestColdStartRequiresAllVoters guards against two valid leases: while the old
// leader is unreachable, the restarted voters must not elect another one before its
// lease has expired.
func TestColdStartRequiresAllVoters(t *testing.T) {
	checkProperty(t, t, *seed, 40, func(t *rapid.T) {
		sim := newSimulation(t, none)
		sim.run(60, 50*time.Millisecond)
		oldLeader := sim.pickNode((*node).isLeader)
		sim.isolate(oldLeader)
		for _, n := range sim.nodes {
			if n != oldLeader {
				sim.crash(n)
				n.restart(sim)
			}
		}
		sim.net = nil
		sim.run(int(electionTimeout*3/4/(20*time.Millisecond)), 20*time.Millisecond)
		if sim.pickNode(func(n *node) bool { return n != oldLeader && n.isLeader() }) != nil {
			t.Fatal("a leader was elected while another may hold a lease")
		}
	})
}

// newStartedVoter returns one of three voters that has just started, and its clock.
func newStartedVoter(c *qt.C) (*Core, time.Time) {
	core, err := New(testConfig("a", 1), DurableState{}, Members{Voters: []ReplicaID{"a", "b", "x"}})
	c.Assert(err, qt.IsNil)
	now := time.Unix(1000, 0)
	core.Tick(now)
	completeWrites(core, now)
	return core, now
}

// completeWrites completes all writes of the core and returns its messages.
func completeWrites(core *Core, now time.Time) []Message {
	out := core.Output()
	messages := out.Messages
	for out.Persist != nil {
		core.Persisted(now, out.Persist.Seq)
		out = core.Output()
		messages = append(messages, out.Messages...)
	}
	return messages
}

// TestColdStartIgnoresVoterStartedAfterRequest guards against counting a voter that
// may have acknowledged a leader after the request was sent and then restarted.
func TestColdStartIgnoresVoterStartedAfterRequest(t *testing.T) {
	c := qt.New(t)
	core, now := newStartedVoter(c)
	for core.cold.granted == nil {
		now = core.NextWake()
		core.Tick(now)
	}
	reply := Message{Kind: MsgPreVoteReply, To: "a", Term: core.term + 1, ColdStart: true, Round: core.cold.round, Uptime: time.Second}
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

// TestColdGrantEndsWhenFollowingLeader guards against a vote that deposes a leader
// with a valid lease: a voter that follows a leader after granting a cold-start
// pre-vote must not vote for that candidate.
func TestColdGrantEndsWhenFollowingLeader(t *testing.T) {
	c := qt.New(t)
	for _, follows := range []bool{false, true} {
		core, now := newStartedVoter(c)
		core.Receive(now, Message{Kind: MsgPreVote, From: "b", To: "a", Term: 5, ColdStart: true, Round: 1})
		if follows {
			core.Receive(now, Message{Kind: MsgAppend, From: "x", To: "a", Term: 2, Round: 1})
		}
		completeWrites(core, now)
		core.Receive(now, Message{Kind: MsgVote, From: "b", To: "a", Term: 5, ColdStart: true})
		voted := false
		for _, m := range completeWrites(core, now) {
			voted = voted || m.Kind == MsgVoteReply && !m.Reject
		}
		c.Assert(voted, qt.Equals, !follows)
	}
}

// TestColdVoteRequiresGrant verifies that a cold-start vote request from a candidate
// whose pre-vote was not granted is ignored.
func TestColdVoteRequiresGrant(t *testing.T) {
	c := qt.New(t)
	core, now := newStartedVoter(c)
	core.Receive(now, Message{Kind: MsgPreVote, From: "x", To: "a", Term: 5, ColdStart: true, Round: 1})
	completeWrites(core, now)
	core.Receive(now, Message{Kind: MsgVote, From: "b", To: "a", Term: 5, ColdStart: true})
	c.Assert(completeWrites(core, now), qt.HasLen, 0)
	c.Assert(core.term, qt.Equals, uint64(0))
}
