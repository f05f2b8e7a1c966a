package ledger

// RecordState is the state of a key's record.
type RecordState uint8

// The states of a record.
const (
	// Open means that an attempt may have sent its request and has not reported
	// an outcome yet.
	Open RecordState = iota
	// Finished means that the request ran and its response was reported.
	Finished
	// OutcomeUnknown means that the request may have run and its outcome can't be
	// determined.
	OutcomeUnknown
	// Cancelled means that no attempt sent its request; another one may start.
	Cancelled
	numRecordStates
)

// Record is the state of one key.
type Record struct {
	Key           KeyDigest
	RequestDigest Digest
	State         RecordState
	// GeneratedKey is set if the entry generated the key. The record is removed
	// when it is settled.
	GeneratedKey bool
	// Attempt is the last attempt that was started. Entry and Incarnation identify
	// its process and are set only while the record is open.
	Attempt     string
	Entry       string
	Incarnation uint64
	// Response is set on a finished record until it expires; nil if it was omitted
	// or exceeded a limit.
	Response *Response
	// SettledAt is when the record left Open, in Unix milliseconds.
	SettledAt int64
	// SettledSeq numbers the records in the order in which they left Open; 0 while
	// open.
	SettledSeq uint64
}

// ClosedAttempt is an attempt that must not start any more: it was cancelled, it
// found another attempt open, or it was settled under a generated key.
type ClosedAttempt struct {
	Key     KeyDigest
	Attempt string
	// Outcome is NotRun, InProgress, Unreplayable or Unknown.
	Outcome OutcomeKind
	// At is when it was closed, in Unix milliseconds.
	At int64
}

// attemptKey identifies one attempt of one key.
type attemptKey struct {
	key     KeyDigest
	attempt string
}

func (c ClosedAttempt) attemptKey() attemptKey { return attemptKey{c.Key, c.Attempt} }

// expiryItem is an item of an expiry queue.
type expiryItem struct {
	key KeyDigest
	seq uint64
	at  int64
}

// closedOutcome returns the outcome of a closed attempt whose record was settled
// in this state.
func (s RecordState) closedOutcome() OutcomeKind {
	switch s {
	case Finished:
		return Unreplayable
	case Cancelled:
		return NotRun
	default:
		return Unknown
	}
}
