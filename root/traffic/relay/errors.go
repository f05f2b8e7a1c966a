package relay

import (
	"errors"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// noRoutesRetry is the suggested wait while this process has no routes yet: a
// joining process learns them within a renewal or two.
const noRoutesRetry = 500 * time.Millisecond

func errNoRoutes() *fault.Error {
	return fault.New(fault.NotReady, part, "this entry has no routes yet").WithRetryAfter(noRoutesRetry)
}

func errNoRoute(req *Request) *fault.Error {
	return fault.New(fault.NotFound, part, "no route for %s%s", req.Host, req.Path)
}

// sendFailed is the failure of a call that brought no answer.
func sendFailed(server string, err error) *fault.Error {
	out := fault.Wrap(err, fault.BackendFailed, part, "%s did not answer", server)
	if notSent(err) {
		return out.WithRan(fault.RanNo)
	}
	return out.WithRan(fault.RanUnknown)
}

func notSent(err error) bool {
	var send *engine.SendError
	return errors.As(err, &send) && send.NotSent
}
