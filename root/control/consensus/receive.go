package consensus

import "time"

// Receive handles a message from another replica. Messages addressed to another ID
// are dropped.
func (c *Core) Receive(now time.Time, m Message) {
	c.advanceClock(now)
	if m.To != c.cfg.ID || m.From == c.cfg.ID || m.From == "" {
		return
	}
	c.step(m)
}

// step dispatches a message by its kind and term. Pre-vote requests, granted
// pre-votes and vote requests come first: this replica must not adopt their term
// unconditionally.
func (c *Core) step(m Message) {
	c.recordAnswer(m)
	switch m.Kind {
	case MsgPreVote:
		c.receivePreVote(m)
		return
	case MsgVote:
		c.receiveVote(m)
		return
	case MsgPreVoteReply:
		if !m.Reject {
			c.receivePreVoteReply(m)
			return
		}
	}
	if m.Term < c.term {
		c.rejectStaleTerm(m)
		return
	}
	if m.Term > c.term {
		c.adoptTerm(m)
	}
	switch m.Kind {
	case MsgVoteReply:
		c.receiveVoteReply(m)
	case MsgAppend:
		c.receiveAppend(m)
	case MsgSnapshot:
		c.receiveSnapshot(m)
	case MsgAppendReply:
		c.receiveAppendReply(m)
	case MsgTimeoutNow:
		c.receiveTimeoutNow(m)
	}
}

// adoptTerm follows the sender of a message into its later term.
func (c *Core) adoptTerm(m Message) {
	if c.role == leader {
		c.noteChange(LaterTerm, m.From)
	}
	c.becomeFollower(m.Term, "")
}

// rejectStaleTerm tells the leader of an earlier term which term is current.
func (c *Core) rejectStaleTerm(m Message) {
	if m.Kind == MsgAppend || m.Kind == MsgSnapshot {
		c.sendAfterWrite(Message{Kind: MsgAppendReply, To: m.From, Reject: true})
	}
}

// acceptLeader records the sender as the leader of the current term, restarts the election
// timer and extends the time in which votes are refused. It reports false if this
// replica itself leads the term.
func (c *Core) acceptLeader(m Message) bool {
	if c.role == leader {
		return false
	}
	if c.role != follower || c.leaderID != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.cold.awaitingFirstLeader = false
	c.gaveUpRound = false
	c.leaderHeardAt = c.now
	c.answers = answers{}
	c.resetElectionTimer()
	c.refuseVotesUntil = max(c.refuseVotesUntil, c.now+c.cfg.ElectionTimeout)
	return true
}

func (c *Core) receiveAppend(m Message) {
	if !contiguous(m) || !c.acceptLeader(m) {
		return
	}
	reply := Message{Kind: MsgAppendReply, To: m.From, Round: m.Round}
	if !c.matches(m.LogIndex, m.LogTerm) {
		reply.Reject, reply.LogIndex, reply.Hint = true, m.LogIndex, c.rejectHint(m.LogIndex)
		c.send(reply)
		return
	}
	c.mergeEntries(m.Entries)
	matched := m.LogIndex + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, matched))
	reply.LogIndex = matched
	if matched > c.log.durable && len(m.Entries) > 0 {
		c.sendAfterWrite(reply)
		return
	}
	// Like the rejection above, this reply is sent without waiting for writes. It
	// acknowledges only entries that are durable.
	reply.LogIndex = min(matched, c.log.durable)
	c.send(reply)
}

// contiguous reports whether the entries of m follow LogIndex without a gap and none
// has a later term than m.
func contiguous(m Message) bool {
	for i, e := range m.Entries {
		if e.Index != m.LogIndex+1+uint64(i) || e.Term > m.Term {
			return false
		}
	}
	return true
}

// matches reports whether the log contains the given entry. Committed entries are
// the same in all logs.
func (c *Core) matches(index, term uint64) bool {
	if index <= c.commit {
		return true
	}
	entryTerm, ok := c.log.term(index)
	return ok && entryTerm == term
}

// rejectHint returns the index from which the leader should retry after a mismatch
// at index. It skips all entries of the conflicting term.
func (c *Core) rejectHint(index uint64) uint64 {
	if index > c.log.lastIndex() {
		return c.log.lastIndex() + 1
	}
	return max(c.log.firstIndexOfTerm(index), c.commit+1)
}

// mergeEntries appends entries that follow a matching entry. It truncates the log at
// the first conflict and skips entries that are already present.
func (c *Core) mergeEntries(entries []Entry) {
	for _, e := range entries {
		if e.Index <= c.commit {
			continue
		}
		if entryTerm, ok := c.log.term(e.Index); ok {
			if entryTerm == e.Term {
				continue
			}
			c.truncate(e.Index - 1)
		}
		c.appendEntry(e)
	}
}

func (c *Core) truncate(index uint64) {
	c.log.truncate(index)
	for c.memberSets[len(c.memberSets)-1].index > index {
		c.memberSets = c.memberSets[:len(c.memberSets)-1]
	}
}

func (c *Core) receiveSnapshot(m Message) {
	if m.Snapshot == nil || !c.acceptLeader(m) {
		return
	}
	s := m.Snapshot
	reply := Message{Kind: MsgAppendReply, To: m.From, Round: m.Round, LogIndex: s.Index}
	if entryTerm, ok := c.log.term(s.Index); s.Index <= c.commit || (ok && entryTerm == s.Term) {
		c.commit = max(c.commit, s.Index)
		c.sendAfterWrite(reply)
		return
	}
	c.snapshot, c.pendingRestore = s, s
	c.writes.snapshotDirty = true
	c.log.reset(s.Index, s.Term)
	c.memberSets = []memberSet{{index: s.Index, members: s.Members}}
	c.commit, c.applied = s.Index, s.Index
	c.sendAfterWrite(reply)
}
