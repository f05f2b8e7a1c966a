package ledger

import (
	"github.com/wagtaildyke/wagtaildyke/fault"
)

// OutcomeKind says how the ledger answered.
type OutcomeKind uint8

// The outcomes of Begin, Finish and Cancel.
const (
	// Refused means that nothing was recorded; the error says why.
	Refused OutcomeKind = iota
	// Started means that this attempt, and no other, may send.
	Started
	// Recorded means that the work finished; Answer is its whole answer.
	Recorded
	// Unreplayable means that the work ran, but its answer is no longer or never
	// was kept.
	Unreplayable
	// InProgress means that another attempt is open.
	InProgress
	// Unknown means that an attempt may have sent and its outcome can't be known.
	Unknown
	// NotRun means that this attempt was cancelled before it sent.
	NotRun
	// KeyReused means that the key was used for another request.
	KeyReused
	// KeyExpired means that the key is older than the retention.
	KeyExpired
	outcomeKinds
)

// Valid reports whether k is one of the kinds.
func (k OutcomeKind) Valid() bool { return k < outcomeKinds }

// Outcome is the ledger's answer to one operation.
type Outcome struct {
	Kind OutcomeKind
	// Answer is set for Recorded. Its body must not be changed.
	Answer Answer
	// Entry, Incarnation and Attempt name the open attempt for InProgress; they
	// are empty when it has ended since.
	Entry       string
	Incarnation uint64
	Attempt     string
}

// Err returns the refusal that the outcome stands for. It is nil for Started
// and Recorded.
func (o Outcome) Err() *fault.Error {
	switch o.Kind {
	case Started, Recorded:
		return nil
	case Unreplayable:
		return fault.New(fault.OutcomeUnknown, part, "the work ran; its answer is not kept").WithRan(fault.RanYes)
	case InProgress:
		return fault.New(fault.InProgress, part, "another attempt is in progress")
	case Unknown:
		return fault.New(fault.OutcomeUnknown, part, "an earlier attempt may have run")
	case NotRun:
		return fault.New(fault.Cancelled, part, "the attempt was cancelled before it was sent").WithRan(fault.RanNo)
	case KeyReused:
		return fault.New(fault.KeyReused, part, "the idempotency key was used for another request")
	case KeyExpired:
		return fault.New(fault.KeyExpired, part, "the idempotency key is older than the retention")
	default:
		return fault.New(fault.Internal, part, "the operation was refused")
	}
}
