package relay

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

const (
	// noRoutesRetry is the suggested wait while this process has no routes yet: a
	// joining process learns them within a renewal or two.
	noRoutesRetry = 500 * time.Millisecond
	// refusedRetry is the suggested wait after backend servers refused: about one
	// request's work.
	refusedRetry = 200 * time.Millisecond
)

func errNoRoutes() *fault.Error {
	return fault.New(fault.NotReady, part, "this entry has no routes yet").WithRetryAfter(noRoutesRetry)
}

func errNoRoute(req *Request) *fault.Error {
	return fault.New(fault.NotFound, part, "no route for %s%s", req.Host, req.Path)
}

// errBudget says that no further transmission is left in the retry budget.
func (r *run) errBudget() *fault.Error {
	return fault.New(fault.Overloaded, part, "the retry budget of %s is used up", r.service.Name).WithRan(r.ran)
}

// gone says that the caller no longer takes the answer.
func gone(err error) error {
	if err == nil {
		return nil
	}
	return fault.Wrap(err, fault.Cancelled, part, "the caller has gone").WithRan(fault.RanYes)
}
