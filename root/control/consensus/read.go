package consensus

import "time"

// read is one linearizable read that waits. round is 0 until one was opened for it.
type read struct {
	id, index, round uint64
}

// Read asks for the index up to which state must be applied for a read that
// starts now. The answer comes by Output under the same id: at once under a
// lease, otherwise after a round that began after this call.
func (c *Core) Read(now time.Time, id uint64) {
	c.advance(now)
	if c.role != leader || len(c.lead.reads) >= maxPendingReads {
		c.results = append(c.results, ReadResult{ID: id, Failed: true})
		return
	}
	if c.now < c.leaseUntil() {
		c.results = append(c.results, ReadResult{ID: id, Index: c.commit})
		return
	}
	c.lead.reads = append(c.lead.reads, read{id: id})
}

// startReadRound opens one round for all reads that wait for one, unless an
// earlier read round is still unanswered.
func (c *Core) startReadRound() {
	reads := c.lead.reads
	if len(reads) == 0 || !c.settled() || reads[0].round != 0 {
		return
	}
	c.heartbeat()
	for i := range reads {
		reads[i].index, reads[i].round = c.commit, c.lead.rounds.last
	}
	c.answerReads()
}

// answerReads answers the reads whose round reached a quorum.
func (c *Core) answerReads() {
	reached := c.quorumRound()
	for len(c.lead.reads) > 0 {
		r := c.lead.reads[0]
		if r.round == 0 || r.round > reached {
			return
		}
		c.lead.reads = c.lead.reads[1:]
		c.results = append(c.results, ReadResult{ID: r.id, Index: r.index})
	}
}

func (c *Core) failReads() {
	for _, r := range c.lead.reads {
		c.results = append(c.results, ReadResult{ID: r.id, Failed: true})
	}
	c.lead.reads = nil
}
