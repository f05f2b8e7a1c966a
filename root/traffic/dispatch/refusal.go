package dispatch

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/admission"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/scheduling"
)

const (
	// noBackendRetry is the suggested wait before a retry when no server may take the
	// request.
	noBackendRetry = time.Second
	// notReadyRetry is the suggested wait before a retry while the entry is stopping or
	// has no valid view.
	notReadyRetry = time.Second
)

// checkReady returns an error if the view does not allow new requests to start.
func (s *State) checkReady(now time.Time) *fault.Error {
	if s.view.Ready(s.leaseTime(now)) {
		return nil
	}
	if s.view != nil && s.view.Stopping {
		return fault.New(fault.Stopping, part, "this entry is stopping").WithRetryAfter(notReadyRetry)
	}
	return fault.New(fault.NotReady, part, "no valid view of the control state").WithRetryAfter(notReadyRetry)
}

// checkOffered returns an error if no server may take the request even with a free
// slot.
func (s *State) checkOffered(req *scheduling.Request) *fault.Error {
	known, active := s.sched.Offers(req)
	if active {
		return nil
	}
	msg := "no backend server offers %q"
	if known {
		msg = "no active backend server offers %q"
	}
	return fault.New(fault.NoBackend, part, msg, req.Target).WithRetryAfter(noBackendRetry)
}

// removeRefused removes the refused requests from the queue and returns them with
// their errors.
func (s *State) removeRefused(refusals []admission.Refusal) []Refused {
	out := make([]Refused, 0, len(refusals))
	for _, r := range refusals {
		delete(s.queued, r.Item.ID)
		out = append(out, Refused{ID: r.Item.ID, Err: refusalError(r)})
	}
	return out
}

// refusalError returns the error for a refusal. Its kind follows from the reason, and
// it says that the request has not run.
func refusalError(r admission.Refusal) *fault.Error {
	kind, msg := fault.Overloaded, "the request was refused"
	switch r.Reason {
	case admission.UnknownClass:
		kind, msg = fault.NotFound, "the class is not in the table"
	case admission.RateExceeded:
		kind, msg = fault.RateLimited, "the class's request rate is exceeded"
	case admission.QueueFull:
		msg = "the class's queue is full"
	case admission.WaitTooLong:
		msg = "the request would miss its deadline after the predicted wait"
	case admission.TooManyTokens:
		kind, msg = fault.TooLarge, "the request exceeds the class's token limit"
	case admission.Expired:
		kind, msg = fault.DeadlineExceeded, "the deadline cannot be met"
	}
	err := fault.New(kind, part, "%s", msg).WithRan(fault.RanNo)
	return err.WithRetryAfter(r.RetryAfter)
}
