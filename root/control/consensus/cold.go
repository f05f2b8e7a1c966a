package consensus

import (
	"time"
)

// coldInterval is the part of an election timeout between two questions of a
// cold start: replicas that start together are up within a few of them.
const coldInterval = 8

// coldStart elects a leader sooner than an election timeout after all voters have
// started anew, such as after a loss of power everywhere. A replica that starts
// refuses votes, since it may have acknowledged a leader whose lease still holds.
// No lease holds when every voter says that it does not lead and that it has
// followed nobody since it started, and was up already when it was asked.
//
// Invariants: a voter keeps one promise, in memory only, and votes by it only
// while it still follows nobody; a replica that is not a voter of its newest set
// of members holds no lease.
type coldStart struct {
	// fresh is set until this replica follows a leader or leads.
	fresh bool
	// round is the question last asked at askedAt, agreed who answered it. Rounds
	// begin at random, so that no answer to an earlier process of this replica
	// counts.
	round   uint64
	askedAt time.Duration
	agreed  map[NodeID]bool
	// promised is the candidate that this replica agreed to, and for which term.
	promised     NodeID
	promisedTerm uint64
}

// isCold reports whether this replica may start a cold election now.
func (c *Core) isCold() bool {
	return c.cold.fresh && c.role != leader && c.now < c.cfg.ElectionTimeout
}

// nextColdQuestion returns a random time ahead. Candidates ask again too: two of
// them may take each other's votes.
func (c *Core) nextColdQuestion() time.Duration {
	step := c.cfg.ElectionTimeout / coldInterval
	return c.now + step/2 + time.Duration(c.rng.Int64N(int64(step)))
}

// askCold asks all voters whether any lease may hold.
func (c *Core) askCold() {
	c.cold.round++
	c.cold.askedAt = c.now
	c.cold.agreed = map[NodeID]bool{c.cfg.ID: true}
	for _, id := range c.members().Voters {
		if id == c.cfg.ID {
			continue
		}
		m := Message{Kind: MsgPreVote, To: id, Term: c.term + 1, Cold: true, Round: c.cold.round}
		m.LogIndex, m.LogTerm = c.log.last(), c.log.lastTerm()
		c.send(m)
	}
	c.campaignCold()
}

// receiveColdPreVote answers where no lease can rest on this replica, and gives up
// a question of its own: two elections would depose each other's leaders.
func (c *Core) receiveColdPreVote(m Message) {
	if !c.cold.fresh && c.refusesVotes() {
		return
	}
	c.cold.promised, c.cold.promisedTerm = m.From, m.Term
	if c.isCold() {
		c.cold.round++
		c.resetElection()
	}
	c.send(Message{Kind: MsgPreVoteReply, To: m.From, Term: m.Term, Cold: true, Round: m.Round, Uptime: c.now})
}

// receiveColdReply counts a voter that was up already when it was asked, as far as
// both clocks can tell.
func (c *Core) receiveColdReply(m Message) {
	if !c.isCold() || c.cold.agreed == nil || m.Round != c.cold.round || m.Term != c.term+1 {
		return
	}
	asked := time.Duration(float64(c.now-c.cold.askedAt) / c.rules.leaseRatio(c.cfg.MaxClockDrift))
	if m.Uptime <= asked {
		return
	}
	c.cold.agreed[m.From] = true
	c.campaignCold()
}

// campaignCold starts the election once every voter has agreed.
func (c *Core) campaignCold() {
	if c.rules.coldQuorum(c.members().Voters, c.cold.agreed) {
		c.campaign(Message{Cold: true})
	}
}

// allAgreed holds once no voter is left that may know of a lease.
func allAgreed(voters []NodeID, agreed map[NodeID]bool) bool {
	for _, id := range voters {
		if !agreed[id] {
			return false
		}
	}
	return len(voters) > 0
}

// keepsColdPromise reports whether this replica agreed to the candidate and has
// followed nobody since.
func (c *Core) keepsColdPromise(m Message) bool {
	return m.Cold && c.cold.fresh && c.role != leader && c.cold.promised == m.From && c.cold.promisedTerm == m.Term
}
