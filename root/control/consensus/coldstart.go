package consensus

import (
	"time"
)

// coldRoundsPerTimeout is the average number of pre-vote rounds that a starting
// replica sends in an election timeout. Replicas that start together reach each
// other within a few rounds.
const coldRoundsPerTimeout = 8

// coldStart is the state of elections after a restart of all voters, such as after
// a power failure. A restarted replica refuses votes for an election timeout, since
// it may have acknowledged a leader whose lease is still valid. A cold start elects
// a leader sooner: no lease can be valid if every voter grants a pre-vote. A voter
// grants it only if it does not lead and has followed no leader, either since it started
// or for an election timeout. Only replies of voters that were running when the pre-vote
// was sent count.
//
// Invariants: a voter keeps only its latest grant, in memory. While it refuses votes, it
// votes for the candidate of that grant only if it has followed no leader since it
// started. A replica that is not a voter in its latest member set holds no lease.
type coldStart struct {
	// awaitingFirstLeader is set from the start of this replica until it first follows a
	// leader or leads.
	awaitingFirstLeader bool
	// round is the number of the latest pre-vote round; it is also incremented to
	// abandon a round. granted holds the voters that have granted the round sent at
	// roundStartedAt. The first round number is random, so that replies to an earlier
	// process of this replica are not counted.
	round          uint64
	roundStartedAt time.Duration
	granted        map[ReplicaID]bool
	// grantedTo and grantedTerm are the candidate and term of the latest pre-vote
	// that this replica granted.
	grantedTo   ReplicaID
	grantedTerm uint64
}

// mayStartCold reports whether this replica may run a cold-start election now. A
// candidate may start another round, because two candidates may have split the vote.
func (c *Core) mayStartCold() bool {
	return c.cold.awaitingFirstLeader && c.role != leader && c.now < c.cfg.ElectionTimeout
}

// nextColdRound returns a random time for the next pre-vote round.
func (c *Core) nextColdRound() time.Duration {
	step := c.cfg.ElectionTimeout / coldRoundsPerTimeout
	return c.now + step/2 + time.Duration(c.rng.Int64N(int64(step)))
}

// startColdRound asks all voters whether a lease may still be valid.
func (c *Core) startColdRound() {
	c.cold.round++
	c.cold.roundStartedAt = c.now
	c.cold.granted = map[ReplicaID]bool{c.cfg.ID: true}
	c.answers.begin(MsgPreVote)
	c.answers.replies[c.cfg.ID] = grantedVote
	for _, id := range c.members().Voters {
		if id == c.cfg.ID {
			continue
		}
		m := Message{Kind: MsgPreVote, To: id, Term: c.term + 1, ColdStart: true, Round: c.cold.round}
		m.LogIndex, m.LogTerm = c.log.lastIndex(), c.log.lastTerm()
		c.send(m)
	}
	c.campaignIfAllGranted()
}

// receiveColdPreVote grants the pre-vote if no lease can depend on this replica. It
// abandons a round of its own, since two concurrent elections would depose each
// other's leaders.
func (c *Core) receiveColdPreVote(m Message) {
	if !c.cold.awaitingFirstLeader && c.refusesVotes() {
		c.send(c.preVoteRejection(m))
		return
	}
	c.cold.grantedTo, c.cold.grantedTerm = m.From, m.Term
	if c.mayStartCold() {
		c.cold.round++
		c.resetElectionTimer()
	}
	c.send(Message{Kind: MsgPreVoteReply, To: m.From, Term: m.Term, ColdStart: true, Round: m.Round, Uptime: c.now})
}

// receiveColdPreVoteReply counts the grant of a voter that was already running when
// the request was sent, allowing for the drift of both clocks. A voter that started
// later may have acknowledged a leader between the request and its start.
func (c *Core) receiveColdPreVoteReply(m Message) {
	if !c.mayStartCold() || c.cold.granted == nil || m.Round != c.cold.round || m.Term != c.term+1 {
		return
	}
	sinceRequest := time.Duration(float64(c.now-c.cold.roundStartedAt) / c.rules.leaseFraction(c.cfg.MaxClockDrift))
	if m.Uptime <= sinceRequest {
		return
	}
	c.cold.granted[m.From] = true
	c.campaignIfAllGranted()
}

// campaignIfAllGranted starts the election once every voter has granted the pre-vote.
func (c *Core) campaignIfAllGranted() {
	if c.hardStateDurable() && c.rules.coldStartGranted(c.members().Voters, c.cold.granted) {
		c.campaign(Message{ColdStart: true})
	}
}

// allGranted reports whether all voters granted the pre-vote. A quorum is not enough:
// any other voter may be a leader with a valid lease.
func allGranted(voters []ReplicaID, granted map[ReplicaID]bool) bool {
	for _, id := range voters {
		if !granted[id] {
			return false
		}
	}
	return len(voters) > 0
}

// grantedColdPreVote reports whether this replica granted the candidate's pre-vote
// and has followed no leader since it started.
func (c *Core) grantedColdPreVote(m Message) bool {
	return m.ColdStart && c.cold.awaitingFirstLeader && c.role != leader && c.cold.grantedTo == m.From && c.cold.grantedTerm == m.Term
}
