// Package consensus is a replicated log as a pure state machine: terms, votes,
// the log, leases and reconfiguration. It has no I/O, no clock and no
// goroutine. The caller feeds it messages, proposals, completed writes and the
// time, then drains Output and carries out what it says.
package consensus

import "time"

// NodeID names one replica identity. It is bound to one data folder: a VM that
// lost its disk returns under a new identity.
type NodeID string

// EntryKind says what a log entry carries.
type EntryKind uint8

// The kinds of log entry.
const (
	// EntryNoop is written by a new leader to commit earlier terms.
	EntryNoop EntryKind = iota
	// EntryCommand carries an opaque command for the replicated state.
	EntryCommand
	// EntryMembers carries a new set of members.
	EntryMembers
)

// Members is the set of replicas. Voters count towards the quorum, learners do not.
type Members struct {
	Voters, Learners []NodeID
}

// Entry is one record of the log.
type Entry struct {
	Term, Index uint64
	Kind        EntryKind
	Data        []byte
	// Members is set on EntryMembers only.
	Members Members
}

// HardState must be durable before a message that depends on it is sent.
type HardState struct {
	Term uint64
	// Vote is the candidate voted for in Term; empty for none.
	Vote NodeID
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index, Term uint64
	Members     Members
	Data        []byte
}

// MessageKind says what a message asks or answers.
type MessageKind uint8

// The kinds of message between replicas.
const (
	MsgPreVote MessageKind = iota
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgSnapshot
	MsgTimeoutNow
)

// Message is one message between replicas.
type Message struct {
	Kind     MessageKind
	From, To NodeID
	Term     uint64
	// LogIndex and LogTerm name the entry before Entries, or the last entry of a candidate.
	LogIndex, LogTerm uint64
	Commit            uint64
	Entries           []Entry
	Snapshot          *Snapshot
	// Reject is set on a negative reply; Hint is then the index to retry from.
	Reject bool
	Hint   uint64
	// Round numbers heartbeat rounds, or the questions of a cold start; a reply
	// echoes it.
	Round uint64
	// Transfer is set on a MsgVote that a MsgTimeoutNow caused: the leader gave
	// up its lease, so voters answer although they heard from it.
	Transfer bool
	// Cold marks the messages of an election after all voters have started anew,
	// and Uptime is how long the sender of a reply has been up by its own clock.
	Cold   bool
	Uptime time.Duration
}

// Persist is one batch of writes. The caller reports Seq back by Persisted once
// the whole batch is durable. A snapshot is written first, then the log is cut
// after TruncateAfter when Truncate is set, then entries are appended. With a
// Snapshot and Truncate together the log starts anew after the snapshot.
type Persist struct {
	Seq           uint64
	HardState     *HardState
	Snapshot      *Snapshot
	Truncate      bool
	TruncateAfter uint64
	Entries       []Entry
}

// ReadResult answers one linearizable read: the state applied up to Index is
// current for the read with the given ID. Failed is set when leadership was lost.
type ReadResult struct {
	ID     uint64
	Index  uint64
	Failed bool
}

// Output is what the caller must do after a call. Messages may be sent at once:
// those that depend on a write appear only after Persisted.
type Output struct {
	Persist  *Persist
	Messages []Message
	// Restore replaces the replicated state before Committed is applied.
	Restore   *Snapshot
	Committed []Entry
	Reads     []ReadResult
}

// Status is the state of one replica for operators and for the caller's decisions.
type Status struct {
	ID       NodeID
	Term     uint64
	Leader   NodeID
	IsLeader bool
	// Settled is set on a leader that has committed an entry of its own term.
	Settled bool
	// LeaseUntil is the local time until which a leader may act without a quorum round.
	LeaseUntil time.Time
	LastIndex  uint64
	Commit     uint64
	Members    Members
	// Match is the highest index known to be durable per member; leaders only.
	Match map[NodeID]uint64
}

// Restored is the durable state found at start.
type Restored struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
}

// Config sets the timing of a replica. All values are required.
type Config struct {
	ID NodeID
	// ElectionTimeout is the shortest silence before an election; a random part
	// up to the same length is added.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between a leader's messages.
	HeartbeatInterval time.Duration
	// MaxClockDrift is the bound on relative clock rates, such as 0.01 for 1%.
	MaxClockDrift float64
	// MaxBatchBytes bounds the entries in one message.
	MaxBatchBytes int
	// Seed drives the random part of timeouts. It must differ from one start of a
	// replica to the next.
	Seed uint64
}
