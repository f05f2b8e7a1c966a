package consensus

import "time"

// peer is what a leader knows about one follower or learner.
type peer struct {
	match, next uint64
	// probing is set while it is unknown where the logs agree: one batch at a time.
	probing, probeSent bool
	flights            []flight
	inflight           int
	// snapshotIndex is not 0 while a snapshot is on its way.
	snapshotIndex uint64
	snapshotAt    time.Duration
	ackedRound    uint64
	ackedAt       time.Duration
	acked         bool
}

// flight is one batch that is not acknowledged yet.
type flight struct {
	last  uint64
	bytes int
}

func (p *peer) ackedSince(t time.Duration) bool { return p.acked && p.ackedAt >= t }

// probe goes back to one batch at a time from next on.
func (p *peer) probe(next uint64) {
	p.next = max(next, p.match+1)
	p.probing, p.probeSent = true, false
	p.flights, p.inflight = nil, 0
}

// advance notes that the log matches up to index.
func (p *peer) advance(index uint64) {
	if p.probing && index+1 >= p.next {
		p.probing = false
	}
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.flights) > 0 && p.flights[0].last <= p.match {
		p.inflight -= p.flights[0].bytes
		p.flights = p.flights[1:]
	}
	if p.match >= p.snapshotIndex {
		p.snapshotIndex = 0
	}
}

// sendHeartbeat sends an empty append. Where the entry before next is unknown
// it names index 0, which every log holds.
func (c *Core) sendHeartbeat(id NodeID, p *peer) {
	m := Message{Kind: MsgAppend, To: id, Commit: c.commit, Round: c.lead.rounds.last}
	if at, ok := c.log.term(p.next - 1); ok && p.snapshotIndex == 0 {
		m.LogIndex, m.LogTerm = p.next-1, at
	}
	c.send(m)
	p.probeSent = false
	if p.snapshotIndex != 0 && c.now >= p.snapshotAt+snapshotRetryTimeouts*c.cfg.ElectionTimeout {
		p.snapshotIndex = 0
	}
}

// replicate sends every follower what it lacks within its bounds.
func (c *Core) replicate() {
	for _, id := range c.others() {
		c.sendEntries(id, c.lead.peers[id])
	}
}

func (c *Core) sendEntries(id NodeID, p *peer) {
	for p.snapshotIndex == 0 && p.next <= c.log.last() {
		if p.next <= c.log.base {
			c.sendSnapshot(id, p)
			return
		}
		if (p.probing && p.probeSent) || p.inflight >= maxInflightBatches*c.cfg.MaxBatchBytes {
			return
		}
		entries, size := c.log.batch(p.next, c.cfg.MaxBatchBytes)
		before, _ := c.log.term(p.next - 1)
		c.send(Message{
			Kind: MsgAppend, To: id, LogIndex: p.next - 1, LogTerm: before,
			Commit: c.commit, Entries: entries, Round: c.lead.rounds.last,
		})
		if p.probing {
			p.probeSent = true
			return
		}
		p.next += uint64(len(entries))
		p.flights = append(p.flights, flight{last: p.next - 1, bytes: size})
		p.inflight += size
	}
}

func (c *Core) sendSnapshot(id NodeID, p *peer) {
	p.snapshotIndex, p.snapshotAt = c.snapshot.Index, c.now
	c.send(Message{Kind: MsgSnapshot, To: id, Snapshot: c.snapshot, Round: c.lead.rounds.last})
}

func (c *Core) receiveAppendReply(m Message) {
	if c.role != leader {
		return
	}
	p := c.lead.peers[m.From]
	if p == nil {
		return
	}
	c.acknowledged(p, m.Round)
	if !m.Reject {
		p.advance(min(m.LogIndex, c.log.last()))
	} else if m.LogIndex > p.match {
		p.probe(min(m.Hint, m.LogIndex))
	}
	c.answerReads()
	c.updateCommit()
}

// updateCommit commits what a quorum holds durably, by an entry of the own term only.
func (c *Core) updateCommit() {
	reached := uint64(c.quorumValue(func(id NodeID) int64 {
		if id == c.cfg.ID {
			return int64(c.log.durable)
		}
		return int64(c.lead.peers[id].match)
	}))
	if at, ok := c.log.term(reached); reached > c.commit && ok && c.rules.mayCommit(at, c.term) {
		for _, e := range c.log.between(c.commit+1, reached) {
			c.lead.uncommitted -= len(e.Data)
		}
		c.commit = reached
	}
	c.lead.uncommitted = max(c.lead.uncommitted, 0)
	c.continueTransfer()
	c.leaveIfRemoved()
}
