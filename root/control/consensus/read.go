package consensus

import "time"

// pendingRead is a linearizable read that waits for a quorum to acknowledge round.
// round is 0 until a round has been started for the read.
type pendingRead struct {
	id, index, round uint64
}

// Read requests the index that must be applied before a linearizable read that
// starts now can be served. Output returns the result under the same ID after a
// heartbeat round that started after this call. A lease does not replace the round:
// it is as good as the local clock, and the clock of a suspended VM stands still.
func (c *Core) Read(now time.Time, id uint64) {
	c.advanceClock(now)
	if c.role != leader || len(c.leaderState.pendingReads) >= maxPendingReads {
		c.readResults = append(c.readResults, ReadResult{ID: id, Failed: true})
		return
	}
	c.leaderState.pendingReads = append(c.leaderState.pendingReads, pendingRead{id: id})
}

// startReadRound starts a heartbeat round for all pending reads, unless the round of
// earlier reads is still in progress or the leader has not committed an entry in its
// term, so that its commit index may be out of date.
func (c *Core) startReadRound() {
	reads := c.leaderState.pendingReads
	if len(reads) == 0 || !c.committedInTerm() || reads[0].round != 0 {
		return
	}
	c.broadcastHeartbeat()
	for i := range reads {
		reads[i].index, reads[i].round = c.commit, c.leaderState.rounds.last
	}
	c.completeReads()
}

// completeReads completes the reads whose round a quorum has acknowledged.
func (c *Core) completeReads() {
	reached := c.quorumRound()
	for len(c.leaderState.pendingReads) > 0 {
		r := c.leaderState.pendingReads[0]
		if r.round == 0 || r.round > reached {
			return
		}
		c.leaderState.pendingReads = c.leaderState.pendingReads[1:]
		c.readResults = append(c.readResults, ReadResult{ID: r.id, Index: r.index})
	}
}

func (c *Core) failReads() {
	for _, r := range c.leaderState.pendingReads {
		c.readResults = append(c.readResults, ReadResult{ID: r.id, Failed: true})
	}
	c.leaderState.pendingReads = nil
}
