package consensus

import "time"

// Receive takes one message from another replica. Messages for another
// identity are dropped.
func (c *Core) Receive(now time.Time, m Message) {
	c.advance(now)
	if m.To != c.cfg.ID || m.From == c.cfg.ID || m.From == "" {
		return
	}
	c.step(m)
}

// step handles a message by its term, then by its kind.
func (c *Core) step(m Message) {
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
		c.refuseStale(m)
		return
	}
	if m.Term > c.term {
		c.becomeFollower(m.Term, "")
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

// refuseStale tells a leader of an earlier term about the present one.
func (c *Core) refuseStale(m Message) {
	if m.Kind == MsgAppend || m.Kind == MsgSnapshot {
		c.sendAfterWrite(Message{Kind: MsgAppendReply, To: m.From, Reject: true})
	}
}

// follow accepts the sender as the leader of the term and renews the promise
// not to vote for another. It reports false for a sender that can't lead.
func (c *Core) follow(m Message) bool {
	if c.role == leader {
		return false
	}
	if c.role != follower || c.leader != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.cold.fresh = false
	c.resetElection()
	c.refuseVotesUntil = max(c.refuseVotesUntil, c.now+c.cfg.ElectionTimeout)
	return true
}

func (c *Core) receiveAppend(m Message) {
	if !contiguous(m) || !c.follow(m) {
		return
	}
	reply := Message{Kind: MsgAppendReply, To: m.From, Round: m.Round}
	if !c.matches(m.LogIndex, m.LogTerm) {
		reply.Reject, reply.LogIndex, reply.Hint = true, m.LogIndex, c.retryFrom(m.LogIndex)
		c.send(reply)
		return
	}
	c.accept(m.Entries)
	matched := m.LogIndex + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, matched))
	reply.LogIndex = matched
	if matched > c.log.durable && len(m.Entries) > 0 {
		c.sendAfterWrite(reply)
		return
	}
	reply.LogIndex = min(matched, c.log.durable)
	c.send(reply)
}

func contiguous(m Message) bool {
	for i, e := range m.Entries {
		if e.Index != m.LogIndex+1+uint64(i) || e.Term > m.Term {
			return false
		}
	}
	return true
}

// matches reports whether the log holds the given entry. The committed prefix always matches.
func (c *Core) matches(index, term uint64) bool {
	if index <= c.commit {
		return true
	}
	at, ok := c.log.term(index)
	return ok && at == term
}

// retryFrom returns the index from which a leader should retry after a mismatch at index.
func (c *Core) retryFrom(index uint64) uint64 {
	if index > c.log.last() {
		return c.log.last() + 1
	}
	return max(c.log.firstOfTerm(index), c.commit+1)
}

// accept appends entries that follow a matching one and cuts a conflicting tail.
func (c *Core) accept(entries []Entry) {
	for _, e := range entries {
		if e.Index <= c.commit {
			continue
		}
		if at, ok := c.log.term(e.Index); ok {
			if at == e.Term {
				continue
			}
			c.truncate(e.Index - 1)
		}
		c.append(e)
	}
}

func (c *Core) truncate(index uint64) {
	c.log.truncate(index)
	for c.configs[len(c.configs)-1].index > index {
		c.configs = c.configs[:len(c.configs)-1]
	}
}

func (c *Core) receiveSnapshot(m Message) {
	if m.Snapshot == nil || !c.follow(m) {
		return
	}
	s := m.Snapshot
	reply := Message{Kind: MsgAppendReply, To: m.From, Round: m.Round, LogIndex: s.Index}
	if at, ok := c.log.term(s.Index); s.Index <= c.commit || (ok && at == s.Term) {
		c.commit = max(c.commit, s.Index)
		c.sendAfterWrite(reply)
		return
	}
	c.snapshot, c.restore = s, s
	c.disk.snapshot = true
	c.log.reset(s.Index, s.Term)
	c.configs = []config{{index: s.Index, members: s.Members}}
	c.commit, c.applied = s.Index, s.Index
	c.sendAfterWrite(reply)
}
