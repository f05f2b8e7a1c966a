package consensus

// Ballot tells how the voters answered the latest request for their votes. It is for logs
// only. A voter is in one of the lists.
type Ballot struct {
	// Kind is MsgPreVote or MsgVote.
	Kind MessageKind
	// Granted also holds this replica once its own vote is durable.
	Granted []ReplicaID
	// Refused holds the voters that follow a leader or voted for another candidate, or
	// whose reply did not say why.
	Refused []ReplicaID
	// LongerLog holds the voters whose last entry this replica lacks.
	LongerLog []ReplicaID
	// LaterTerm holds the other voters that are in a later term.
	LaterTerm []ReplicaID
	// Unanswered holds the voters that did not answer.
	Unanswered []ReplicaID
}

// Asked reports whether this replica has asked for votes since it last followed a leader.
func (b Ballot) Asked() bool {
	return len(b.Granted)+len(b.Refused)+len(b.LongerLog)+len(b.LaterTerm)+len(b.Unanswered) > 0
}

type voteAnswer uint8

const (
	noAnswer voteAnswer = iota
	grantedVote
	refusedVote
	hasLongerLog
	isInLaterTerm
)

// answers holds the replies to the latest request for votes. replies is nil if there was
// none since this replica last followed a leader.
type answers struct {
	kind    MessageKind
	replies map[ReplicaID]voteAnswer
}

func (a *answers) begin(kind MessageKind) {
	*a = answers{kind: kind, replies: map[ReplicaID]voteAnswer{}}
}

// recordAnswer records the reply to a request for a pre-vote or a vote.
func (c *Core) recordAnswer(m Message) {
	if c.answers.replies == nil || !repliesTo(m.Kind, c.answers.kind) {
		return
	}
	answer := refusedVote
	switch {
	case !m.Reject:
		answer = grantedVote
	case m.LogTerm > c.log.lastTerm() || m.LogTerm == c.log.lastTerm() && m.LogIndex > c.log.lastIndex():
		answer = hasLongerLog
	case m.Term > c.term:
		answer = isInLaterTerm
	}
	c.answers.replies[m.From] = answer
}

func repliesTo(reply, request MessageKind) bool {
	return reply == MsgPreVoteReply && request == MsgPreVote || reply == MsgVoteReply && request == MsgVote
}

// ballot returns the answers of all current voters, this replica included.
func (c *Core) ballot() Ballot {
	b := Ballot{Kind: c.answers.kind}
	if c.answers.replies == nil {
		return b
	}
	lists := map[voteAnswer]*[]ReplicaID{
		noAnswer: &b.Unanswered, grantedVote: &b.Granted, refusedVote: &b.Refused, hasLongerLog: &b.LongerLog, isInLaterTerm: &b.LaterTerm,
	}
	for _, id := range c.members().Voters {
		list := lists[c.answers.replies[id]]
		*list = append(*list, id)
	}
	return b
}

// withLastEntry adds the position of the last log entry to the rejection of a request for a
// vote.
func (c *Core) withLastEntry(reply Message) Message {
	reply.LogIndex, reply.LogTerm = c.log.lastIndex(), c.log.lastTerm()
	return reply
}
