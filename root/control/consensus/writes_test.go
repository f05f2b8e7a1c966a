package consensus

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// threeVoters is a replica "a" of three that follows "b" in term 1.
func threeVoters(c *qt.C) *Core {
	core, err := New(testConfig("a", 1), DurableState{}, Members{Voters: []ReplicaID{"a", "b", "c"}})
	c.Assert(err, qt.IsNil)
	core.Tick(clockEpoch)
	return core
}

// appendFrom handles an append of b with entries after index.
func appendFrom(core *Core, term, index, indexTerm, commit uint64, entries ...Entry) {
	core.Receive(clockEpoch.Add(time.Millisecond), Message{
		Kind: MsgAppend, From: "b", To: "a", Term: term, LogIndex: index, LogTerm: indexTerm, Commit: commit, Entries: entries,
	})
}

func entriesOf(term, first, last uint64) []Entry {
	var out []Entry
	for i := first; i <= last; i++ {
		out = append(out, Entry{Term: term, Index: i, Kind: EntryCommand, Data: []byte("x")})
	}
	return out
}

// TestBatchWithSnapshotAndTruncationIsComplete compacts the log and then replaces its
// end, while a write is in flight. The batch with both makes the disk drop its log, so it
// must contain every entry after the snapshot.
func TestBatchWithSnapshotAndTruncationIsComplete(t *testing.T) {
	c := qt.New(t)
	core := threeVoters(c)
	core.Persisted(clockEpoch, core.Output().Persist.Seq)
	appendFrom(core, 1, 0, 0, 6, entriesOf(1, 1, 10)...)
	inFlight := core.Output().Persist
	c.Assert(inFlight.Entries, qt.HasLen, 10)

	c.Assert(core.Compact(4, []byte("state")), qt.IsNil)
	appendFrom(core, 2, 8, 1, 6, entriesOf(2, 9, 9)...)
	c.Assert(core.Output().Persist, qt.IsNil)
	core.Persisted(clockEpoch, inFlight.Seq)

	batch := core.Output().Persist
	c.Assert(batch.Snapshot.Index, qt.Equals, uint64(4))
	c.Assert(batch.Truncate, qt.IsTrue)
	c.Assert(batch.TruncateAfter, qt.Equals, uint64(4))
	c.Assert(batch.Entries, qt.HasLen, 5)
	c.Assert(batch.Entries[0].Index, qt.Equals, uint64(5))
	c.Assert(batch.Entries[4], qt.DeepEquals, entriesOf(2, 9, 9)[0])
}

// TestInheritedEntriesCountAsUncommitted elects a leader whose log has uncommitted
// entries of an earlier term. They use up its limit on uncommitted bytes until they
// commit.
func TestInheritedEntriesCountAsUncommitted(t *testing.T) {
	c := qt.New(t)
	core := threeVoters(c)
	const inherited = 50
	appendFrom(core, 1, 0, 0, 0, entriesOf(1, 1, inherited)...)
	core.term, core.vote, core.role = 2, "a", candidate
	core.becomeLeader()
	c.Assert(core.leaderState.uncommittedBytes, qt.Equals, inherited)

	core.writes.persistedSeq = core.Output().Persist.Seq
	core.log.durable = core.log.lastIndex()
	core.Receive(clockEpoch.Add(2*time.Millisecond), Message{Kind: MsgAppendReply, From: "b", To: "a", Term: 2, LogIndex: inherited + 1})
	c.Assert(core.commit, qt.Equals, uint64(inherited+1))
	c.Assert(core.leaderState.uncommittedBytes, qt.Equals, 0)
}
