package relay

import (
	"context"
	"time"
)

const (
	// startupHold is how long after the start of the process requests may wait for the
	// first routes. After a restart of all processes, routes arrive after 0.2 s if the
	// leader wins a cold-start election (see package consensus), and after 0.8 s if it
	// wins an ordinary one. The rest leaves time for a second round of voting.
	startupHold = 1200 * time.Millisecond
	// startupHoldShare is the share of the caller's timeout that a request may wait for
	// the first routes.
	startupHoldShare = 0.5
)

// awaitRoutes waits for the first routes if the process has just started. A process
// without routes for longer than startupHold does not delay requests.
func (r *Relay) awaitRoutes(ctx context.Context, req *Request) {
	until := r.Started.Add(startupHold)
	if hold := time.Duration(startupHoldShare * float64(req.Timeout)); req.Timeout > 0 && req.Arrived.Add(hold).Before(until) {
		until = req.Arrived.Add(hold)
	}
	if !r.lacksRoutes() || !time.Now().Before(until) {
		return
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		next := r.Views.Changed()
		if !r.lacksRoutes() {
			return
		}
		select {
		case <-next:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (r *Relay) lacksRoutes() bool {
	v := r.Views.Load()
	return v == nil || v.Routes == nil
}
