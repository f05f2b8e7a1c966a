package consensus

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestEqualElectionTimersElectALeader guards against split votes: without the leader, the
// timers of all others expire at the same moment.
func TestEqualElectionTimersElectALeader(t *testing.T) {
	checkProperty(t, t, *seed, 40, func(t *rapid.T) {
		sim := newSimulation(t, none)
		sim.run(60, 50*time.Millisecond)
		sim.crash(sim.pickNode((*node).isLeader))
		sim.net = nil
		for _, n := range sim.nodes {
			if n.running() {
				n.core.electionDeadline = n.core.now + 2*electionTimeout
			}
		}
		sim.run(int((2*electionTimeout+electionTimeout/2)/(20*time.Millisecond)), 20*time.Millisecond)
		if sim.pickNode((*node).isLeader) == nil {
			t.Fatal("no leader half an election timeout after the timers expired")
		}
	})
}

// TestLostVoteRequestsAreRepeated guards against an election that fails because one message
// was lost, although all voters that are needed are up.
func TestLostVoteRequestsAreRepeated(t *testing.T) {
	c := qt.New(t)
	core, now := startPreVote(c, 3)
	grant := func(kind MessageKind, from ReplicaID, term uint64) []Message {
		core.Receive(now, Message{Kind: kind, From: from, To: "a", Term: term})
		return completeWrites(core, now)
	}
	repeated := func() []ReplicaID {
		now = core.NextWake()
		core.Tick(now)
		var asked []ReplicaID
		for _, m := range core.Output().Messages {
			asked = append(asked, m.To)
		}
		return asked
	}
	c.Assert(repeated(), qt.DeepEquals, []ReplicaID{"b", "x"})
	c.Assert(core.role, qt.Equals, preCandidate)
	grant(MsgPreVoteReply, "b", 4)
	c.Assert(core.role, qt.Equals, candidate)
	c.Assert(repeated(), qt.DeepEquals, []ReplicaID{"b", "x"})
	c.Assert(core.term, qt.Equals, uint64(4))
	grant(MsgVoteReply, "x", 4)
	c.Assert(core.role, qt.Equals, leader)
}
