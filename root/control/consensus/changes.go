package consensus

import "time"

// Change describes a change of leadership as this replica sees it, for logs.
type Change struct {
	Reason ChangeReason
	// Term is the term after the change.
	Term uint64
	// Peer is the replica that caused the change, or empty.
	Peer ReplicaID
	// Silence is the time since a quorum acknowledged this leader, or since this replica
	// heard from its leader.
	Silence time.Duration
}

// ChangeReason is the reason of a Change.
type ChangeReason uint8

// The reasons. All but the first two end the leadership of this replica.
const (
	// Elected means that this replica leads.
	Elected ChangeReason = iota
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
// the leader that this replica followed.
func (c *Core) noteChange(reason ChangeReason, peer ReplicaID) {
	silence := c.now - c.leaderHeardAt
	if c.role == leader {
		silence = c.now - max(c.leaderState.electedAt, c.quorumAckedAt())
	}
	c.changes = append(c.changes, Change{Reason: reason, Term: c.term, Peer: peer, Silence: silence})
}
