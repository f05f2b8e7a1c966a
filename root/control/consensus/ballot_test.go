package consensus

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// startPreVote returns a voter of a, b and x that has asked for pre-votes in an ordinary
// election, after entries of the given term, and its clock.
func startPreVote(c *qt.C, term uint64) (*Core, time.Time) {
	durable := DurableState{
		HardState: HardState{Term: term},
		Snapshot:  &Snapshot{Members: Members{Voters: []ReplicaID{"a", "b", "x"}}},
		Entries:   []Entry{{Term: term, Index: 1}},
	}
	core, err := New(testConfig("a", 1), durable, Members{})
	c.Assert(err, qt.IsNil)
	now := time.Unix(1000, 0)
	for core.Tick(now); core.role != preCandidate; core.Tick(now) {
		now = core.NextWake()
	}
	core.Output()
	return core, now
}

// rejectPreVote answers a pre-vote of core as a voter does that may not grant it.
func rejectPreVote(c *qt.C, core *Core, now time.Time, voter ReplicaID, durable DurableState) {
	other, err := New(testConfig(voter, 2), durable, Members{})
	c.Assert(err, qt.IsNil)
	other.Receive(now, Message{
		Kind: MsgPreVote, From: "a", To: voter, Term: core.term + 1, LogIndex: core.log.lastIndex(), LogTerm: core.log.lastTerm(),
	})
	replies := completeWrites(other, now)
	c.Assert(replies, qt.HasLen, 1)
	core.Receive(now, replies[0])
}

// TestLogTellsVotersWithALongerLogFromGoneOnes guards against an election that fails for
// reasons that its log lines don't tell apart.
func TestLogTellsVotersWithALongerLogFromGoneOnes(t *testing.T) {
	c := qt.New(t)
	core, now := startPreVote(c, 3)
	rejectPreVote(c, core, now, "b", DurableState{HardState: HardState{Term: 3}, Entries: []Entry{{Term: 3, Index: 1}, {Term: 3, Index: 2}}})
	now = core.startTime.Add(core.electionDeadline)
	core.Tick(now)
	changes := core.Output().Changes
	c.Assert(changes, qt.HasLen, 1)
	c.Assert(changes[0].Reason, qt.Equals, LeaderSilent)
	c.Assert(changes[0].Voters, qt.Equals, 3)
	c.Assert(changes[0].Quorum, qt.Equals, 2)
	c.Assert(changes[0].LastIndex, qt.Equals, uint64(1))
	c.Assert(changes[0].Ballot, qt.DeepEquals, Ballot{
		Kind: MsgPreVote, Granted: []ReplicaID{"a"}, LongerLog: []ReplicaID{"b"}, Unanswered: []ReplicaID{"x"},
	})
}

// TestLogTellsALaterTerm is like the test above, for a voter that is in a later term.
func TestLogTellsALaterTerm(t *testing.T) {
	c := qt.New(t)
	core, now := startPreVote(c, 3)
	rejectPreVote(c, core, now, "b", DurableState{HardState: HardState{Term: 7}})
	c.Assert(core.ballot().LaterTerm, qt.DeepEquals, []ReplicaID{"b"})
	c.Assert(core.term, qt.Equals, uint64(7))
}

// TestLogTellsVotersThatRefuseFromGoneOnes is like the first test, for a voter that may not
// vote yet, as if it followed a leader.
func TestLogTellsVotersThatRefuseFromGoneOnes(t *testing.T) {
	c := qt.New(t)
	core, now := startPreVote(c, 3)
	rejectPreVote(c, core, now, "b", DurableState{HardState: HardState{Term: 3}, Entries: []Entry{{Term: 3, Index: 1}}})
	c.Assert(core.ballot(), qt.DeepEquals, Ballot{
		Kind: MsgPreVote, Granted: []ReplicaID{"a"}, Refused: []ReplicaID{"b"}, Unanswered: []ReplicaID{"x"},
	})
	c.Assert(core.term, qt.Equals, uint64(3))
}

// TestLeaderThatCommitsSaysSo guards against logs in which a leader that never acted looks
// like one that did.
func TestLeaderThatCommitsSaysSo(t *testing.T) {
	checkProperty(t, t, *seed, 20, func(t *rapid.T) {
		sim := newSimulation(t, none)
		sim.run(60, 50*time.Millisecond)
		leader := sim.pickNode((*node).isLeader)
		last := leader.changes[len(leader.changes)-1]
		if last.Reason != FirstCommit || last.Term != leader.core.term || last.Commit < leader.core.leaderState.firstIndex {
			t.Fatalf("last change of the leader: %+v", last)
		}
		sim.isolate(leader)
		isolatedAt := leader.core.now
		sim.run(100, 50*time.Millisecond)
		i := slices.IndexFunc(leader.changes, func(c Change) bool { return c.Reason == QuorumSilent })
		if i < 0 || len(leader.changes[i].SilentVoters) != len(sim.nodes)-1 {
			t.Fatalf("changes of the isolated leader: %+v", leader.changes)
		}
		last = leader.changes[len(leader.changes)-1]
		if last.Reason != LeaderSilent || len(last.Ballot.Unanswered) != len(sim.nodes)-1 {
			t.Fatalf("last change of the isolated replica: %+v", last)
		}
		if led := isolatedAt; leader.core.now-last.Silence < led-electionTimeout {
			t.Fatalf("silence of %v, although it led until %v after its start", last.Silence, led)
		}
	})
}
