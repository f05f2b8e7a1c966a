package fault

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"
)

// Error is a typed refusal or failure. Its kind selects the answer.
type Error struct {
	Kind Kind
	// Ran is the claim made to the caller.
	Ran Ran
	// RetryAfter is the suggested wait before a retry; zero when none is known.
	RetryAfter time.Duration
	cause      error
}

// New returns an error of the given kind. part is the place in the supervisor
// tree, such as "control/table".
func New(kind Kind, part, format string, args ...any) *Error {
	cause := oops.Code(kind.String()).In(part).Errorf(format, args...)
	return &Error{Kind: kind, Ran: kind.Answer().Ran, cause: cause}
}

// Wrap returns an error of the given kind around cause.
func Wrap(cause error, kind Kind, part, format string, args ...any) *Error {
	wrapped := oops.Code(kind.String()).In(part).Wrapf(cause, format, args...)
	return &Error{Kind: kind, Ran: kind.Answer().Ran, cause: wrapped}
}

// WithRan returns a copy that makes the given claim.
func (e *Error) WithRan(ran Ran) *Error {
	out := *e
	out.Ran = ran
	return &out
}

// WithRetryAfter returns a copy that suggests the given wait.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	out := *e
	out.RetryAfter = wait
	return &out
}

// Error returns the message without the kind.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the wrapped cause.
func (e *Error) Unwrap() error { return e.cause }

// From returns err as an *Error. Context errors map to Cancelled and
// DeadlineExceeded with an unknown outcome; anything else maps to Internal.
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

// KindOf returns the kind of a non-nil err as From would map it.
func KindOf(err error) Kind { return From(err).Kind }
