package ledger

// RecordState says where the work of a key stands.
type RecordState uint8

// The states of a record.
const (
	// Open means that an attempt may have sent and has not reported yet.
	Open RecordState = iota
	// Finished means that the work ran and its answer was known.
	Finished
	// Lost means that the work may have run and nobody can say.
	Lost
	// Cancelled means that no attempt has sent; a later one may start.
	Cancelled
	recordStates
)

// Record is what the ledger keeps of one key.
type Record struct {
	Key    KeyDigest
	Digest Digest
	State  RecordState
	// Private records are dropped when they are settled.
	Private bool
	// Attempt, Entry and Incarnation are kept while the record is open; Attempt
	// also as long as the answer is.
	Attempt     string
	Entry       string
	Incarnation uint64
	// Answer is set on a finished record while it can be replayed.
	Answer *Answer
	// SettledAt is when the record left Open, Unix milliseconds.
	SettledAt int64
	// Settled orders the records by the time when they left Open; 0 while open.
	Settled uint64
}

// ClosedAttempt is a remembered attempt that must not start any more: one that
// was cancelled, one that found another attempt open, or one of a private key
// that was settled.
type ClosedAttempt struct {
	Key     KeyDigest
	Attempt string
	// Outcome is NotRun, InProgress, Unreplayable or Unknown.
	Outcome OutcomeKind
	// At is when it was closed, Unix milliseconds.
	At int64
}

// attemptID names one attempt of one key.
type attemptID struct {
	key     KeyDigest
	attempt string
}

func (c ClosedAttempt) id() attemptID { return attemptID{c.Key, c.Attempt} }

// settlement is one entry of the expiry queue. It is stale when the record has
// been settled again since.
type settlement struct {
	key     KeyDigest
	settled uint64
	at      int64
}

// outcome returns how a closed attempt in this state is answered.
func (s RecordState) outcome() OutcomeKind {
	switch s {
	case Finished:
		return Unreplayable
	case Cancelled:
		return NotRun
	default:
		return Unknown
	}
}
