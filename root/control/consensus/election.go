package consensus

import (
	"time"
)

// resetElection sets the next election a random time ahead.
func (c *Core) resetElection() {
	timeout := c.cfg.ElectionTimeout
	c.electionAt = c.now + timeout + time.Duration(c.rng.Int64N(int64(timeout)))
	if c.isCold() {
		c.electionAt = c.nextColdQuestion()
	}
}

// becomeFollower takes over a term. A leader that steps down fails its reads
// and keeps the promise of its own lease.
func (c *Core) becomeFollower(term uint64, leaderID NodeID) {
	if c.role == leader {
		c.refuseVotesUntil = max(c.refuseVotesUntil, c.leaseUntil())
		c.failReads()
		c.lead = nil
	}
	if term > c.term {
		c.term, c.vote = term, ""
		c.disk.hardState = true
	}
	c.role, c.leader, c.votes = follower, leaderID, nil
	c.resetElection()
}

// preCampaign asks whether an election could be won, without a new term.
func (c *Core) preCampaign() {
	c.role, c.leader = preCandidate, ""
	c.votes = map[NodeID]bool{c.cfg.ID: true}
	if c.wonVotes() {
		c.campaign(Message{})
		return
	}
	c.requestVotes(Message{Kind: MsgPreVote, Term: c.term + 1})
}

// campaign starts an election; why carries what lets voters answer although they
// refuse votes. The own vote counts once it is durable.
func (c *Core) campaign(why Message) {
	c.role, c.leader = candidate, ""
	c.term, c.vote = c.term+1, c.cfg.ID
	c.disk.hardState = true
	c.votes = map[NodeID]bool{}
	c.resetElection()
	c.requestVotes(Message{Kind: MsgVote, Term: c.term, Transfer: why.Transfer, Cold: why.Cold})
	c.sendAfterWrite(Message{Kind: MsgVoteReply, To: c.cfg.ID})
}

func (c *Core) requestVotes(m Message) {
	m.LogIndex, m.LogTerm = c.log.last(), c.log.lastTerm()
	for _, id := range c.members().Voters {
		if id == c.cfg.ID {
			continue
		}
		m.To = id
		if m.Kind == MsgPreVote {
			c.send(m)
			continue
		}
		c.sendAfterWrite(m)
	}
}

// wonVotes counts the votes of voters only.
func (c *Core) wonVotes() bool {
	voters := c.members().Voters
	granted := 0
	for _, id := range voters {
		if c.votes[id] {
			granted++
		}
	}
	return len(voters) > 0 && granted >= c.rules.quorum(len(voters))
}

// refusesVotes reports whether a leader may hold a lease that rests on this replica.
func (c *Core) refusesVotes() bool {
	return c.role == leader || c.now < c.refuseVotesUntil
}

func (c *Core) upToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.LogIndex >= c.log.last()
}

// receivePreVote answers without changing any state.
func (c *Core) receivePreVote(m Message) {
	reply := Message{Kind: MsgPreVoteReply, To: m.From, Term: m.Term}
	if m.Term <= c.term || !c.upToDate(m) {
		reply.Reject, reply.Term = true, c.term
		c.send(reply)
		return
	}
	if m.Cold {
		c.receiveColdPreVote(m)
		return
	}
	if !c.refusesVotes() {
		c.send(reply)
	}
}

// receiveVote answers a candidate. Its term is not taken over while this
// replica refuses votes.
func (c *Core) receiveVote(m Message) {
	if m.Term > c.term {
		if c.refusesVotes() && !m.Transfer && !c.keepsColdPromise(m) {
			return
		}
		c.becomeFollower(m.Term, "")
	}
	reply := Message{Kind: MsgVoteReply, To: m.From}
	free := c.vote == "" && c.leader == ""
	if m.Term < c.term || !c.upToDate(m) || !(free || c.vote == m.From) {
		reply.Reject = true
		c.sendAfterWrite(reply)
		return
	}
	if c.vote != m.From {
		c.vote = m.From
		c.disk.hardState = true
		c.resetElection()
	}
	c.sendAfterWrite(reply)
}

func (c *Core) receivePreVoteReply(m Message) {
	if m.Cold && !m.Reject {
		c.receiveColdReply(m)
		return
	}
	if c.role != preCandidate || m.Reject || m.Term != c.term+1 {
		return
	}
	c.votes[m.From] = true
	if c.wonVotes() {
		c.campaign(Message{})
	}
}

func (c *Core) receiveVoteReply(m Message) {
	if c.role != candidate || m.Reject || m.Term != c.term {
		return
	}
	c.votes[m.From] = true
	if c.wonVotes() {
		c.becomeLeader()
	}
}

// receiveTimeoutNow starts the election that a leader asked for.
func (c *Core) receiveTimeoutNow(m Message) {
	if m.Term == c.term && c.role != leader && c.mayLead() {
		c.campaign(Message{Transfer: true})
	}
}
