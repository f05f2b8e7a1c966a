package dispatch

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/admission"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/scheduling"
)

const (
	// noBackendRetry is the suggested wait when no server can take the work.
	noBackendRetry = time.Second
	// notReadyRetry is the suggested wait while the view lease is out.
	notReadyRetry = time.Second
)

// ready reports whether new work may start.
func (s *State) ready(now time.Time) *fault.Error {
	if s.view.Ready(now) {
		return nil
	}
	if s.view != nil && s.view.Stopping {
		return fault.New(fault.Stopping, part, "this entry is stopping").WithRetryAfter(notReadyRetry)
	}
	return fault.New(fault.NotReady, part, "no live view of the control state").WithRetryAfter(notReadyRetry)
}

// offered reports whether any server may take the work once it has room.
func (s *State) offered(w *scheduling.Request) *fault.Error {
	known, active := s.sched.Offers(w)
	if active {
		return nil
	}
	msg := "no backend server offers %q"
	if known {
		msg = "no active backend server offers %q"
	}
	return fault.New(fault.NoBackend, part, msg, w.Target).WithRetryAfter(noBackendRetry)
}

// refuse takes refused requests out of line.
func (s *State) refuse(refusals []admission.Refusal) []Refused {
	out := make([]Refused, 0, len(refusals))
	for _, r := range refusals {
		delete(s.line, r.Item.ID)
		out = append(out, Refused{ID: r.Item.ID, Err: refusalError(r)})
	}
	return out
}

// refusalError maps a refusal to its error kind. Refused work never ran.
func refusalError(r admission.Refusal) *fault.Error {
	kind, msg := fault.Overloaded, "the line is too long"
	switch r.Reason {
	case admission.UnknownClass:
		kind, msg = fault.NotFound, "the class is not in the table"
	case admission.RateExceeded:
		kind, msg = fault.RateLimited, "the class's rate is used up"
	case admission.QueueFull:
		msg = "the class's queue is full"
	case admission.WaitTooLong:
		msg = "the predicted wait passes the deadline"
	case admission.TooManyTokens:
		kind, msg = fault.TooLarge, "the request passes the class's token limit"
	case admission.Expired:
		kind, msg = fault.DeadlineExceeded, "the deadline cannot be met"
	}
	err := fault.New(kind, part, "%s", msg).WithRan(fault.RanNo)
	return err.WithRetryAfter(r.RetryAfter)
}
