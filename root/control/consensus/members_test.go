package consensus

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// newLeader returns a leader of the voters a, b and x that has committed an entry in its
// term, and its clock. Both others have acknowledged it.
func newLeader(c *qt.C) (*Core, time.Time) {
	core, now := newStartedVoter(c)
	var messages []Message
	for range 100 {
		if core.role == leader {
			break
		}
		if len(messages) == 0 {
			now = core.NextWake()
			core.Tick(now)
		}
		for _, m := range messages {
			reply := Message{From: m.To, To: "a", Term: m.Term, ColdStart: m.ColdStart, Round: m.Round, Uptime: time.Minute}
			switch m.Kind {
			case MsgPreVote:
				reply.Kind = MsgPreVoteReply
			case MsgVote:
				reply.Kind = MsgVoteReply
			default:
				continue
			}
			core.Receive(now, reply)
		}
		messages = completeWrites(core, now)
	}
	acknowledge(core, now, "b", "x")
	c.Assert(core.Status().CommittedInTerm, qt.IsTrue)
	return core, now
}

// acknowledge makes members reply to the latest heartbeat round of a leader.
func acknowledge(core *Core, now time.Time, members ...ReplicaID) {
	completeWrites(core, now)
	for _, id := range members {
		core.Receive(now, Message{
			Kind: MsgAppendReply, From: id, To: "a", Term: core.term, Round: core.leaderState.rounds.last, LogIndex: core.log.lastIndex(),
		})
	}
	completeWrites(core, now)
}

// TestRemovalNeedsAQuorumOfTheOthers guards against the removal of a voter that can never be
// committed, because too few of the others are reachable, and that ends all leadership.
func TestRemovalNeedsAQuorumOfTheOthers(t *testing.T) {
	c := qt.New(t)
	core, now := newLeader(c)
	for range 12 {
		now = now.Add(core.cfg.HeartbeatInterval)
		core.Tick(now)
		acknowledge(core, now, "b")
	}
	c.Assert(core.FollowedBy("b"), qt.IsTrue)
	c.Assert(core.FollowedBy("x"), qt.IsFalse)
	c.Assert(now.Sub(core.Status().Acked["x"]) > core.cfg.ElectionTimeout, qt.IsTrue)
	err := core.ChangeMembers(now, Members{Voters: []ReplicaID{"a", "x"}})
	c.Assert(fault.Is(err, fault.Conflict), qt.IsTrue)
	c.Assert(core.ChangeMembers(now, Members{Voters: []ReplicaID{"a", "b"}}), qt.IsNil)
}
