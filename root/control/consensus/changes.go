package consensus

import (
	"slices"
	"time"
)

// Change describes a change of leadership as this replica sees it, for logs.
type Change struct {
	Reason ChangeReason
	// Term is the term after the change.
	Term uint64
	// Peer is the replica that caused the change, or empty.
	Peer ReplicaID
	// Silence is the time since a quorum acknowledged this leader, or since this replica
	// heard from its leader or led with a quorum.
	Silence time.Duration
	// SinceElection is the time since this leader was elected, and 0 on other replicas.
	SinceElection time.Duration
	// LastIndex and Commit are the last and the commit index of this replica.
	LastIndex, Commit uint64
	// Voters is the number of voters, and Quorum how many of them are needed.
	Voters, Quorum int
	// Ballot is set on LeaderSilent if the votes that this replica last asked for did not
	// make it the leader.
	Ballot Ballot
	// SilentVoters are the voters that have not acknowledged this leader for an election
	// timeout, on QuorumSilent.
	SilentVoters []ReplicaID
}

// ChangeReason is the reason of a Change.
type ChangeReason uint8

// The reasons. All but the first three end the leadership of this replica.
const (
	// Elected means that this replica leads.
	Elected ChangeReason = iota
	// FirstCommit means that this leader has committed the first entry of its term, from
	// which on it acts as leader.
	FirstCommit
	// LeaderSilent means that this replica asks for votes, since it knows no leader that
	// it has heard from within its election timeout.
	LeaderSilent
	// QuorumSilent means that no quorum has acknowledged this leader for an election
	// timeout.
	QuorumSilent
	// LaterTerm means that Peer is in a later term.
	LaterTerm
	// Transferred means that the target of a leadership transfer was told to take over
	// and did not within an election timeout.
	Transferred
	// RemovedFromVoters means that this leader is no longer a voter.
	RemovedFromVoters
)

func (r ChangeReason) String() string {
	switch r {
	case Elected:
		return "elected"
	case FirstCommit:
		return "first entry committed"
	case LeaderSilent:
		return "leader silent"
	case QuorumSilent:
		return "quorum silent"
	case LaterTerm:
		return "later term"
	case Transferred:
		return "transfer not completed"
	case RemovedFromVoters:
		return "removed from voters"
	default:
		return "unknown"
	}
}

// noteChange records a change for Output. Without a leader role, the silence is that of
// the leader that this replica followed, or of the quorum that followed this replica.
func (c *Core) noteChange(reason ChangeReason, peer ReplicaID) {
	voters := c.members().Voters
	change := Change{
		Reason: reason, Term: c.term, Peer: peer, Silence: c.now - c.leaderHeardAt,
		LastIndex: c.log.lastIndex(), Commit: c.commit, Voters: len(voters), Quorum: c.rules.quorum(len(voters)),
	}
	if c.role == leader {
		change.Silence = c.now - max(c.leaderState.electedAt, c.quorumAckedAt())
		change.SinceElection = c.now - c.leaderState.electedAt
	}
	switch reason {
	case LeaderSilent:
		change.Ballot = c.ballot()
	case QuorumSilent:
		change.SilentVoters = c.silentVoters()
	}
	c.changes = append(c.changes, change)
}

// silentVoters returns the voters whose silence lets this leader step down.
func (c *Core) silentVoters() []ReplicaID {
	return slices.DeleteFunc(slices.Clone(c.members().Voters), func(id ReplicaID) bool {
		p := c.leaderState.peers[id]
		return id == c.cfg.ID || p != nil && p.acked && p.ackedAt+c.cfg.ElectionTimeout > c.now
	})
}
