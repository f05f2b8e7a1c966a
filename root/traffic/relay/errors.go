package relay

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

const (
	// noRoutesRetry is the suggested delay before a retry while this process has no
	// routes: a joining process receives them within one or two renewals.
	noRoutesRetry = 500 * time.Millisecond
	// refusedRetry is the suggested delay before a retry after backend servers refused
	// a request: about the time that a server takes for one request.
	refusedRetry = 200 * time.Millisecond
)

func errNoRoutes() *fault.Error {
	return fault.New(fault.NotReady, part, "no routes received yet").WithRetryAfter(noRoutesRetry)
}

func errNoRoute(req *Request) *fault.Error {
	return fault.New(fault.NotFound, part, "no route matches %s%s", req.Host, req.Path)
}

// errRetryBudget is the error for a retry that the retry budget does not permit.
func (r *requestRun) errRetryBudget() *fault.Error {
	return fault.New(fault.Overloaded, part, "retry budget of service %q exhausted", r.service.Name).WithRan(r.ran)
}

// sinkError wraps an error of the sink, which means that the caller has
// disconnected; nil stays nil.
func sinkError(err error) error {
	if err == nil {
		return nil
	}
	return fault.Wrap(err, fault.Cancelled, part, "caller disconnected").WithRan(fault.RanYes)
}
