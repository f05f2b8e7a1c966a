package fault

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"
)

// Error is an error with a kind, which determines the response to the caller.
type Error struct {
	Kind Kind
	// Ran tells the caller whether the work of the request ran.
	Ran Ran
	// RetryAfter is the suggested delay before a retry, or zero if there is none.
	RetryAfter time.Duration
	err        error
}

// New returns an error of the given kind. part is the path of the failed component
// in the supervisor tree, such as "control/table".
func New(kind Kind, part, format string, args ...any) *Error {
	cause := oops.Code(kind.String()).In(part).Errorf(format, args...)
	return &Error{Kind: kind, Ran: kind.Attributes().Ran, err: cause}
}

// Wrap returns an error of the given kind that wraps cause.
func Wrap(cause error, kind Kind, part, format string, args ...any) *Error {
	wrapped := oops.Code(kind.String()).In(part).Wrapf(cause, format, args...)
	return &Error{Kind: kind, Ran: kind.Attributes().Ran, err: wrapped}
}

// WithRan returns a copy with another value of Ran.
func (e *Error) WithRan(ran Ran) *Error {
	out := *e
	out.Ran = ran
	return &out
}

// WithRetryAfter returns a copy that suggests the given delay before a retry.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	out := *e
	out.RetryAfter = wait
	return &out
}

// Error returns the message without the kind.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the wrapped cause.
func (e *Error) Unwrap() error { return e.err }

// From returns the *Error that err is or wraps. Other context errors become
// Cancelled or DeadlineExceeded with RanUnknown; any other error becomes Internal.
// The result for a nil err is nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	switch {
	case errors.Is(err, context.Canceled):
		return Wrap(err, Cancelled, "fault", "cancelled")
	case errors.Is(err, context.DeadlineExceeded):
		return Wrap(err, DeadlineExceeded, "fault", "deadline passed").WithRan(RanUnknown)
	default:
		return Wrap(err, Internal, "fault", "internal error")
	}
}

// Is reports whether err is an error of the given kind.
func Is(err error, kind Kind) bool { return err != nil && From(err).Kind == kind }

// KindOf returns the kind of From(err). It panics if err is nil.
func KindOf(err error) Kind { return From(err).Kind }
