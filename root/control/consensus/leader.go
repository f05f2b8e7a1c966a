package consensus

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// leaderState is the volatile state of a leader.
type leaderState struct {
	electedAt     time.Duration
	nextHeartbeat time.Duration
	// firstIndex is the index of the first entry in the leader's term.
	firstIndex uint64
	// uncommittedBytes is the size of the commands after the commit index, also of those
	// of earlier terms.
	uncommittedBytes int
	peers            map[ReplicaID]*peer
	rounds           rounds
	pendingReads     []pendingRead
	transfer         transfer
}

// transfer is the state of a leadership transfer. Without one, to is empty.
type transfer struct {
	to       ReplicaID
	deadline time.Duration
	// timeoutNowSent is set once MsgTimeoutNow is sent. From then on the leader has
	// no lease until it steps down.
	timeoutNowSent bool
}

func (c *Core) becomeLeader() {
	c.role, c.leaderID, c.votes = leader, c.cfg.ID, nil
	c.cold.awaitingFirstLeader = false
	c.gaveUpRound = false
	c.answers = answers{}
	c.leaderState = &leaderState{electedAt: c.now, uncommittedBytes: c.bytesAfterCommit(), peers: map[ReplicaID]*peer{}}
	c.syncPeers()
	c.leaderState.firstIndex = c.propose(Entry{Kind: EntryNoop})
	c.broadcastHeartbeat()
	c.noteChange(Elected, "")
}

// bytesAfterCommit returns the size of the entries after the commit index.
func (c *Core) bytesAfterCommit() int {
	n := 0
	for _, e := range c.log.slice(c.commit+1, c.log.lastIndex()) {
		n += len(e.Data)
	}
	return n
}

// committedInTerm reports whether the leader has committed an entry in its term.
func (c *Core) committedInTerm() bool { return c.commit >= c.leaderState.firstIndex }

// syncPeers adds and removes replication state to match the latest member set.
func (c *Core) syncPeers() {
	m := c.members()
	for id := range c.leaderState.peers {
		if !m.isVoter(id) && !m.isLearner(id) {
			delete(c.leaderState.peers, id)
		}
	}
	for _, id := range c.peerIDs() {
		if c.leaderState.peers[id] == nil {
			c.leaderState.peers[id] = &peer{next: c.log.lastIndex() + 1, probing: true}
		}
	}
}

// peerIDs returns all members except this replica, in a fixed order.
func (c *Core) peerIDs() []ReplicaID {
	m := c.members()
	ids := make([]ReplicaID, 0, len(m.Voters)+len(m.Learners))
	for _, group := range [][]ReplicaID{m.Voters, m.Learners} {
		for _, id := range group {
			if id != c.cfg.ID {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

func (c *Core) tickLeader() {
	if c.now >= c.quorumDeadline() {
		c.noteChange(QuorumSilent, "")
		c.becomeFollower(c.term, "")
		return
	}
	if t := &c.leaderState.transfer; t.to != "" && c.now >= t.deadline {
		if t.timeoutNowSent {
			c.noteChange(Transferred, t.to)
			c.becomeFollower(c.term, "")
			return
		}
		*t = transfer{}
	}
	if c.now >= c.leaderState.nextHeartbeat {
		c.broadcastHeartbeat()
	}
}

// quorumDeadline returns the time at which the leader steps down unless a quorum
// replies before.
func (c *Core) quorumDeadline() time.Duration {
	return max(c.leaderState.electedAt, c.quorumAckedAt()) + c.cfg.ElectionTimeout
}

func (c *Core) nextLeaderWake() time.Duration {
	wake := min(c.leaderState.nextHeartbeat, c.quorumDeadline())
	if c.leaderState.transfer.to != "" {
		wake = min(wake, c.leaderState.transfer.deadline)
	}
	return wake
}

// TransferLeadership makes another voter the leader. Proposals are refused during the
// transfer. Once the target has the whole log, the leader gives up its lease and
// sends MsgTimeoutNow to it. After an election timeout the transfer is aborted, or,
// if MsgTimeoutNow was sent, the leader steps down. Error kinds: NotLeader, Conflict
// during another transfer, and Invalid if the target is not another voter.
func (c *Core) TransferLeadership(now time.Time, to ReplicaID) error {
	c.advanceClock(now)
	switch {
	case c.role != leader:
		return fault.New(fault.NotLeader, part, "replica %s is not the leader", c.cfg.ID)
	case to == c.cfg.ID || !c.members().isVoter(to):
		return fault.New(fault.Invalid, part, "cannot transfer leadership to %s: not another voter", to)
	case c.leaderState.transfer.to != "":
		return fault.New(fault.Conflict, part, "leadership transfer to %s is already in progress", c.leaderState.transfer.to)
	}
	c.leaderState.transfer = transfer{to: to, deadline: c.now + c.cfg.ElectionTimeout}
	c.continueTransfer()
	return nil
}

// continueTransfer sends MsgTimeoutNow once the target has the whole log.
func (c *Core) continueTransfer() {
	t := &c.leaderState.transfer
	if t.to == "" || t.timeoutNowSent {
		return
	}
	if p := c.leaderState.peers[t.to]; p == nil || p.match != c.log.lastIndex() {
		return
	}
	t.timeoutNowSent = true
	c.send(Message{Kind: MsgTimeoutNow, To: t.to})
}

// stepDownIfRemoved makes a leader that is no longer a voter step down once its removal
// is committed. The heartbeat before that tells the followers that it is committed, and
// MsgTimeoutNow makes the most up-to-date voter start an election at once.
func (c *Core) stepDownIfRemoved() {
	last := c.memberSets[len(c.memberSets)-1]
	if last.index > c.commit || last.members.isVoter(c.cfg.ID) {
		return
	}
	c.broadcastHeartbeat()
	if successor := c.mostUpToDateVoter(); successor != "" {
		// As in a transfer, the lease is given up, although a leader that is not a voter
		// has none.
		c.leaderState.transfer = transfer{to: successor, timeoutNowSent: true}
		c.send(Message{Kind: MsgTimeoutNow, To: successor})
	}
	c.noteChange(RemovedFromVoters, "")
	c.becomeFollower(c.term, "")
}

// mostUpToDateVoter returns the voter with the highest match index, or an empty ID if
// there are no other voters.
func (c *Core) mostUpToDateVoter() ReplicaID {
	var best ReplicaID
	var match uint64
	for _, id := range c.members().Voters {
		if p := c.leaderState.peers[id]; p != nil && p.match >= match {
			best, match = id, p.match
		}
	}
	return best
}
