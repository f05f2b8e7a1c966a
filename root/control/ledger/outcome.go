package ledger

import (
	"github.com/wagtaildyke/wagtaildyke/fault"
)

// OutcomeKind says how an operation on the ledger ended.
type OutcomeKind uint8

// The outcomes of Begin, Finish and Cancel.
const (
	// Refused means that nothing was recorded; the error gives the reason.
	Refused OutcomeKind = iota
	// Started means that this attempt, and no other, may send its request.
	Started
	// Recorded means that the request finished; Response is its full response.
	Recorded
	// Unreplayable means that the request ran, but its response was not recorded or
	// has expired.
	Unreplayable
	// InProgress means that another attempt was open when Begin first saw this one,
	// which must not start.
	InProgress
	// Unknown means that an attempt may have sent its request and the outcome
	// can't be determined.
	Unknown
	// NotRun means that this attempt was cancelled before it sent its request.
	NotRun
	// KeyReused means that the key was used for a different request.
	KeyReused
	// KeyExpired means that the key is older than its retention.
	KeyExpired
	numOutcomeKinds
)

// Valid reports whether k is one of the kinds.
func (k OutcomeKind) Valid() bool { return k < numOutcomeKinds }

// Outcome is the result of one operation on the ledger.
type Outcome struct {
	Kind OutcomeKind
	// Response is set for Recorded. Its body must not be modified.
	Response Response
	// Entry, Incarnation and Attempt identify the open attempt for InProgress.
	// They are empty if it has ended since.
	Entry       string
	Incarnation uint64
	Attempt     string
}

// Err returns the outcome as an error, or nil for Started and Recorded.
func (o Outcome) Err() *fault.Error {
	switch o.Kind {
	case Started, Recorded:
		return nil
	case Unreplayable:
		return fault.New(fault.OutcomeUnknown, part, "the request ran, but its response is not available").WithRan(fault.RanYes)
	case InProgress:
		return fault.New(fault.InProgress, part, "another attempt was in progress")
	case Unknown:
		return fault.New(fault.OutcomeUnknown, part, "an earlier attempt may have run")
	case NotRun:
		return fault.New(fault.Cancelled, part, "the attempt was cancelled before its request was sent").WithRan(fault.RanNo)
	case KeyReused:
		return fault.New(fault.KeyReused, part, "the idempotency key was used for another request")
	case KeyExpired:
		return fault.New(fault.KeyExpired, part, "the idempotency key is older than its retention")
	default:
		return fault.New(fault.Internal, part, "the operation was refused")
	}
}
