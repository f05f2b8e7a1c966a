package consensus

import (
	"time"
)

// resetElectionTimer restarts the election timer with a random timeout.
func (c *Core) resetElectionTimer() {
	timeout := c.cfg.ElectionTimeout
	c.electionDeadline = c.now + timeout + time.Duration(c.rng.Int64N(int64(timeout)))
	if c.mayStartCold() {
		c.electionDeadline = c.nextColdRound()
	}
}

// becomeFollower makes the replica a follower in the given term, which may be its
// current one. A leader that steps down fails its pending reads and refuses votes
// until its own lease expires.
func (c *Core) becomeFollower(term uint64, leaderID ReplicaID) {
	if c.role == leader {
		c.refuseVotesUntil = max(c.refuseVotesUntil, c.leaseUntil())
		c.leaderHeardAt = max(c.leaderState.electedAt, c.quorumAckedAt())
		c.failReads()
		c.leaderState = nil
	}
	if term > c.term {
		c.term, c.vote = term, ""
		c.writes.hardStateDirty = true
	}
	c.role, c.leaderID, c.votes = follower, leaderID, nil
	c.resetElectionTimer()
}

// preCampaign starts a pre-vote, which finds out, without incrementing the term,
// whether an election can be won.
func (c *Core) preCampaign() {
	c.noteChange(LeaderSilent, c.leaderID)
	c.role, c.leaderID = preCandidate, ""
	c.votes = map[ReplicaID]bool{c.cfg.ID: true}
	c.answers.begin(MsgPreVote)
	c.answers.replies[c.cfg.ID] = grantedVote
	if c.wonVotes() {
		c.campaign(Message{})
		return
	}
	c.requestVotes(Message{Kind: MsgPreVote, Term: c.term + 1})
}

// campaign starts an election. flags holds the Transfer and ColdStart flags of the vote
// requests: while a voter refuses votes, it replies only to a transfer election and to a
// cold-start election whose pre-vote it granted. The candidate's own vote counts once it
// is durable.
func (c *Core) campaign(flags Message) {
	c.role, c.leaderID = candidate, ""
	c.term, c.vote = c.term+1, c.cfg.ID
	c.writes.hardStateDirty = true
	c.votes = map[ReplicaID]bool{}
	c.answers.begin(MsgVote)
	c.resetElectionTimer()
	c.requestVotes(Message{Kind: MsgVote, Term: c.term, Transfer: flags.Transfer, ColdStart: flags.ColdStart})
	c.sendAfterWrite(Message{Kind: MsgVoteReply, To: c.cfg.ID})
}

func (c *Core) requestVotes(m Message) {
	m.LogIndex, m.LogTerm = c.log.lastIndex(), c.log.lastTerm()
	c.request, c.nextRequest = m, c.now+c.cfg.HeartbeatInterval
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

// awaitsVotes reports whether this replica has asked for pre-votes or votes and still waits
// for them.
func (c *Core) awaitsVotes() bool {
	return c.role == preCandidate || c.role == candidate && !c.awaitsOwnVote()
}

// repeatRequest asks the voters that have not granted the request again once it is due: a
// lost request or reply would cost the round if all other voters that are up are needed.
func (c *Core) repeatRequest() {
	if !c.awaitsVotes() || c.now < c.nextRequest {
		return
	}
	c.nextRequest = c.now + c.cfg.HeartbeatInterval
	m := c.request
	for _, id := range c.members().Voters {
		if m.To = id; !c.votes[id] && id != c.cfg.ID {
			c.send(m)
		}
	}
}

// wonVotes reports whether a quorum of the current voters granted its vote.
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

// awaitsOwnVote reports whether this replica is a candidate that can't ask for votes yet,
// because its own vote is not durable.
func (c *Core) awaitsOwnVote() bool { return c.role == candidate && !c.votes[c.cfg.ID] }

// refusesVotes reports whether a leader, possibly this replica, may hold a lease
// based on an acknowledgement of this replica.
func (c *Core) refusesVotes() bool {
	return c.role == leader || c.now < c.refuseVotesUntil
}

// isUpToDate reports whether the sender's log is at least as up to date as this
// replica's: its last entry has a later term, or the same term and no lower index.
func (c *Core) isUpToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.LogIndex >= c.log.lastIndex()
}

// receivePreVote replies to a pre-vote request. Granting it may end a round of this replica.
func (c *Core) receivePreVote(m Message) {
	switch {
	case m.Term <= c.term:
		// The candidate gives up its round for a later term. One that is not durable must not
		// cost it that: this replica may be a candidate whose disk hangs.
		c.sendAfterWrite(c.preVoteRejection(m))
	case !c.isUpToDate(m):
		c.send(c.preVoteRejection(m))
	case m.ColdStart:
		c.receiveColdPreVote(m)
	case c.refusesVotes():
		c.send(c.preVoteRejection(m))
	default:
		c.send(Message{Kind: MsgPreVoteReply, To: m.From, Term: m.Term})
		if c.role == preCandidate && m.From < c.cfg.ID && !c.gaveUpRound {
			// Of two rounds at the same time one ends, since two elections would split the
			// votes. The other candidate's log is at least as up to date as this one's, but it
			// may reach fewer voters, so this replica does it once.
			c.gaveUpRound = true
			c.becomeFollower(c.term, "")
		}
	}
}

// preVoteRejection tells the candidate that this replica answers, and its term and last entry.
func (c *Core) preVoteRejection(m Message) Message {
	return c.withLastEntry(Message{Kind: MsgPreVoteReply, To: m.From, Term: c.term, Reject: true})
}

// receiveVote replies to a vote request. While this replica refuses votes, it ignores
// requests of a later term, and does not adopt that term, unless they complete a
// leadership transfer or a cold-start pre-vote that it granted.
func (c *Core) receiveVote(m Message) {
	if m.Term > c.term {
		if c.refusesVotes() && !m.Transfer && !c.grantedColdPreVote(m) {
			return
		}
		c.adoptTerm(m)
	}
	reply := Message{Kind: MsgVoteReply, To: m.From}
	canVote := c.vote == "" && c.leaderID == ""
	if m.Term < c.term || !c.isUpToDate(m) || !(canVote || c.vote == m.From) {
		reply.Reject = true
		c.sendAfterWrite(c.withLastEntry(reply))
		return
	}
	if c.vote != m.From {
		c.vote = m.From
		c.writes.hardStateDirty = true
		c.resetElectionTimer()
	}
	c.sendAfterWrite(reply)
}

func (c *Core) receivePreVoteReply(m Message) {
	if m.ColdStart && !m.Reject {
		c.receiveColdPreVoteReply(m)
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
	if m.From == c.cfg.ID {
		// The requests to the others have waited for this vote.
		c.resetElectionTimer()
		c.nextRequest = c.now + c.cfg.HeartbeatInterval
	}
	if c.wonVotes() {
		c.becomeLeader()
	}
}

// receiveTimeoutNow starts an election at once to complete a leadership transfer.
func (c *Core) receiveTimeoutNow(m Message) {
	if m.Term == c.term && c.role != leader && c.promotable() {
		c.campaign(Message{Transfer: true})
	}
}
