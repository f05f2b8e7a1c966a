// Package consensus implements a Raft-style replicated log with leader leases
// and membership changes. It is a deterministic state machine without I/O, a
// clock or goroutines: the caller passes in messages, proposals, completed
// writes and the time, then calls Output and executes the returned actions.
package consensus

import "time"

// ReplicaID identifies a replica. An ID belongs to one data folder: a VM that lost
// its disk rejoins under a new ID, because it no longer knows its votes and entries.
type ReplicaID string

// EntryKind is the type of a log entry.
type EntryKind uint8

// The kinds of log entry.
const (
	// EntryNoop is appended by a new leader; committing it also commits all
	// entries of earlier terms.
	EntryNoop EntryKind = iota
	// EntryCommand carries an opaque command for the replicated state machine.
	EntryCommand
	// EntryMembers carries a new member set.
	EntryMembers
)

// Members is a set of replicas. Voters count towards the quorum. Learners
// receive the log but do not vote.
type Members struct {
	Voters, Learners []ReplicaID
}

// Entry is a log entry.
type Entry struct {
	Term, Index uint64
	Kind        EntryKind
	Data        []byte
	// Members is set only for EntryMembers.
	Members Members
}

// HardState is the term and vote of a replica. Vote requests, replies to them, replies
// to snapshots, rejections of messages from a leader of an earlier term, and
// acknowledgements of entries that are not durable wait until all earlier changes of the
// hard state, the snapshot and the log are durable. All other messages are sent at once.
type HardState struct {
	Term uint64
	// Vote is the candidate that received the vote in Term, or empty.
	Vote ReplicaID
}

// Snapshot holds the replicated state after Index and replaces the log up to and
// including it.
type Snapshot struct {
	Index, Term uint64
	Members     Members
	Data        []byte
}

// MessageKind is the type of a message between replicas.
type MessageKind uint8

// The kinds of message.
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

// Message is a message from one replica to another.
type Message struct {
	Kind     MessageKind
	From, To ReplicaID
	Term     uint64
	// LogIndex and LogTerm identify the last log entry of a candidate or, in an append,
	// the entry that precedes Entries. A heartbeat may refer to index 0, which every log
	// matches. In the reply to an append or a snapshot, LogIndex is the index up to which
	// the sender's log is durable and known to match. If the append did not match, it is
	// the LogIndex of the append.
	LogIndex, LogTerm uint64
	Commit            uint64
	Entries           []Entry
	Snapshot          *Snapshot
	// Reject marks a negative reply. On a rejected append, Hint is the index from
	// which the leader should retry.
	Reject bool
	Hint   uint64
	// Round is the number of a heartbeat round or of a cold-start pre-vote round.
	// Replies echo it.
	Round uint64
	// Transfer is set on a MsgVote caused by MsgTimeoutNow. The leader has given up
	// its lease, so voters reply even if they heard from it recently.
	Transfer bool
	// ColdStart marks the messages of a cold-start election, see coldStart. Uptime is
	// set on a granted cold-start pre-vote: the time since the sender started, by its
	// own clock.
	ColdStart bool
	Uptime    time.Duration
}

// WriteBatch is a set of changes to make durable. The caller first writes the
// snapshot, then truncates the log after TruncateAfter if Truncate is set, then
// appends the entries. If Snapshot and Truncate are both set, it drops the whole log
// instead of truncating it, and restarts it after the snapshot. HardState becomes
// durable together with the entries. The caller passes Seq to Persisted once the whole
// batch is durable.
type WriteBatch struct {
	Seq           uint64
	HardState     *HardState
	Snapshot      *Snapshot
	Truncate      bool
	TruncateAfter uint64
	Entries       []Entry
}

// ReadResult completes a linearizable read. The read may be served from a state
// that has applied all entries up to Index. Failed is set if this replica does not
// lead, lost leadership, or has too many pending reads.
type ReadResult struct {
	ID     uint64
	Index  uint64
	Failed bool
}

// Output is the work that the caller must carry out. Messages may be sent
// immediately: those that depend on a write are held back until Persisted.
type Output struct {
	Persist  *WriteBatch
	Messages []Message
	// Restore is a snapshot to load into the replicated state before Committed is
	// applied.
	Restore   *Snapshot
	Committed []Entry
	Reads     []ReadResult
	// Changes are the changes of leadership since the last Output.
	Changes []Change
}

// Status describes the current state of a replica.
type Status struct {
	ID       ReplicaID
	Term     uint64
	Leader   ReplicaID
	IsLeader bool
	// CommittedInTerm is set on a leader that has committed an entry of its term.
	// Only then is its commit index known to be current.
	CommittedInTerm bool
	// LeaseUntil is the local time until which a leader may act without contacting
	// a quorum, which a read of the log does nevertheless. It is zero without a lease.
	LeaseUntil time.Time
	LastIndex  uint64
	Commit     uint64
	Members    Members
	// Match is the highest index known to be durable on each member. It is set on
	// leaders only.
	Match map[ReplicaID]uint64
	// Acked is when each member is last known to have followed this leader, or when this
	// leader was elected if that is later. It is set on leaders only.
	Acked map[ReplicaID]time.Time
}

// DurableState is the state read from disk at startup.
type DurableState struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
}

// Config configures a replica. All fields are required, except that MaxClockDrift and
// Seed may be 0; see Seed.
type Config struct {
	ID ReplicaID
	// ElectionTimeout is the minimum time without contact from a leader before a
	// replica starts an ordinary election. A random duration of up to the same length
	// is added. The lease of a leader, the time after which a leader without a quorum
	// steps down and the deadline of a leadership transfer are derived from it.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between heartbeats of a leader. It is at most
	// half of ElectionTimeout.
	HeartbeatInterval time.Duration
	// MaxClockDrift bounds the rate error of each clock, such as 0.01 for 1%.
	MaxClockDrift float64
	// MaxBatchBytes bounds the size of a command and of the entries in one message.
	MaxBatchBytes int
	// Seed seeds the random number generator. It must differ between starts of a
	// replica, so that replies to an earlier process are not mistaken for replies to
	// this one.
	Seed uint64
}
