package relay

import (
	"errors"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

const (
	// noRoutesRetry is the suggested delay before a retry while this process has no
	// routes, or none that a leader vouches for. A process that joins the fleet receives
	// them with one of its first two renewals of the view lease, usually within this time.
	noRoutesRetry = 500 * time.Millisecond
	// defaultRetry is the suggested delay before a retry of a request that did not run
	// if its error suggests no other delay. A server that refused the request as full
	// is expected to complete another one in about this time.
	defaultRetry = 200 * time.Millisecond
)

func errNoRoutes() *fault.Error {
	return fault.New(fault.NotReady, part, "no routes received yet").WithRetryAfter(noRoutesRetry)
}

// errNoRoute is the error for a request that matches no route of the view. Only a fresh
// view shows that there is no such route. now is by the clock of leases.
func errNoRoute(req *Request, v *view.View, now time.Time) *fault.Error {
	kind := fault.NotFound
	if !v.Fresh(now) {
		kind = fault.NotReady
	}
	err := fault.New(kind, part, "no route of version %d matches %s%s; view %d/%d, lease left %s",
		v.Routes.Version, req.Host, req.Path, v.Term, v.Seq, v.LeaseUntil.Sub(now).Round(time.Millisecond))
	if kind == fault.NotReady {
		return err.WithRetryAfter(noRoutesRetry)
	}
	return err
}

// errBudgetExhausted is the cause of the errors of errRetryBudget.
var errBudgetExhausted = errors.New("retry budget exhausted")

// errRetryBudget is the error for a retry that the retry budget does not permit.
func (r *requestRun) errRetryBudget() *fault.Error {
	return fault.Wrap(errBudgetExhausted, fault.Overloaded, part, "service %q", r.service.Name).WithRan(r.ran)
}

// sinkError wraps an error of the sink, which means that the caller has
// disconnected; nil stays nil.
func sinkError(err error) error {
	if err == nil {
		return nil
	}
	return fault.Wrap(err, fault.Cancelled, part, "caller disconnected").WithRan(fault.RanYes)
}
