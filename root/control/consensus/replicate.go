package consensus

import "time"

// peer is the replication state that a leader keeps for another member.
type peer struct {
	// match is the highest index known to be durable on the peer, next the index of
	// the next entry to send.
	match, next uint64
	// probing is set until it is known where the logs match. Meanwhile one batch is sent
	// at a time, and again after each heartbeat.
	probing, probeSent bool
	inflight           []inflightBatch
	inflightBytes      int
	// snapshotIndex is the index of a snapshot that was sent and not acknowledged, or 0.
	snapshotIndex  uint64
	snapshotSentAt time.Duration
	// ackedRound is the latest heartbeat round that the peer replied to, and ackedAt
	// the send time of the latest such round that was still recorded. ackedAt is
	// valid if acked is set.
	ackedRound uint64
	ackedAt    time.Duration
	acked      bool
}

// inflightBatch is a batch of entries that was sent and not acknowledged.
type inflightBatch struct {
	last  uint64
	bytes int
}

func (p *peer) ackedSince(t time.Duration) bool { return p.acked && p.ackedAt >= t }

// startProbing returns to sending one batch at a time, starting at next.
func (p *peer) startProbing(next uint64) {
	p.next = max(next, p.match+1)
	p.probing, p.probeSent = true, false
	p.inflight, p.inflightBytes = nil, 0
}

// updateMatch records that the peer's log matches up to index.
func (p *peer) updateMatch(index uint64) {
	if p.probing && index+1 >= p.next {
		p.probing = false
	}
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0].last <= p.match {
		p.inflightBytes -= p.inflight[0].bytes
		p.inflight = p.inflight[1:]
	}
	if p.match >= p.snapshotIndex {
		p.snapshotIndex = 0
	}
}

// sendHeartbeat sends an empty append. If the term of the entry before next is
// not known or a snapshot is in flight, the message refers to index 0, which matches
// every log. sendHeartbeat also permits the next probe, and forgets a snapshot that was
// not acknowledged in time, so that sendEntries sends it again.
func (c *Core) sendHeartbeat(id ReplicaID, p *peer) {
	m := Message{Kind: MsgAppend, To: id, Commit: c.commit, Round: c.leaderState.rounds.last}
	if entryTerm, ok := c.log.term(p.next - 1); ok && p.snapshotIndex == 0 {
		m.LogIndex, m.LogTerm = p.next-1, entryTerm
	}
	c.send(m)
	p.probeSent = false
	if p.snapshotIndex != 0 && c.now >= p.snapshotSentAt+snapshotRetryTimeouts*c.cfg.ElectionTimeout {
		p.snapshotIndex = 0
	}
}

// replicate sends missing entries to all followers, within the inflight limits.
func (c *Core) replicate() {
	for _, id := range c.peerIDs() {
		c.sendEntries(id, c.leaderState.peers[id])
	}
}

// sendEntries sends the entries that the peer lacks, or a snapshot if they are no longer
// in memory.
func (c *Core) sendEntries(id ReplicaID, p *peer) {
	for p.snapshotIndex == 0 && p.next <= c.log.lastIndex() {
		if p.next <= c.log.base {
			c.sendSnapshot(id, p)
			return
		}
		if (p.probing && p.probeSent) || p.inflightBytes >= maxInflightBatches*c.cfg.MaxBatchBytes {
			return
		}
		entries, size := c.log.batch(p.next, c.cfg.MaxBatchBytes)
		before, _ := c.log.term(p.next - 1)
		c.send(Message{
			Kind: MsgAppend, To: id, LogIndex: p.next - 1, LogTerm: before,
			Commit: c.commit, Entries: entries, Round: c.leaderState.rounds.last,
		})
		if p.probing {
			p.probeSent = true
			return
		}
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, inflightBatch{last: p.next - 1, bytes: size})
		p.inflightBytes += size
	}
}

func (c *Core) sendSnapshot(id ReplicaID, p *peer) {
	p.snapshotIndex, p.snapshotSentAt = c.snapshot.Index, c.now
	c.send(Message{Kind: MsgSnapshot, To: id, Snapshot: c.snapshot, Round: c.leaderState.rounds.last})
}

func (c *Core) receiveAppendReply(m Message) {
	if c.role != leader {
		return
	}
	p := c.leaderState.peers[m.From]
	if p == nil {
		return
	}
	c.recordAck(p, m.Round)
	if !m.Reject {
		p.updateMatch(min(m.LogIndex, c.log.lastIndex()))
	} else if m.LogIndex > p.match {
		p.startProbing(min(m.Hint, m.LogIndex))
	}
	c.completeReads()
	c.updateCommit()
}

// updateCommit advances the commit index to the highest index that is durable on a
// quorum, provided that entry belongs to the current term.
func (c *Core) updateCommit() {
	reached := uint64(c.quorumValue(func(id ReplicaID) int64 {
		if id == c.cfg.ID {
			return int64(c.log.durable)
		}
		return int64(c.leaderState.peers[id].match)
	}))
	if entryTerm, ok := c.log.term(reached); reached > c.commit && ok && c.rules.mayCommit(entryTerm, c.term) {
		established := c.committedInTerm()
		for _, e := range c.log.slice(c.commit+1, reached) {
			c.leaderState.uncommittedBytes -= len(e.Data)
		}
		c.commit = reached
		if !established && c.committedInTerm() {
			c.noteChange(FirstCommit, "")
		}
	}
	c.continueTransfer()
	c.stepDownIfRemoved()
}
