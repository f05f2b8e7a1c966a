package relay

import (
	"context"
	"time"
)

const (
	// startTime is how long after its start an entry usually has routes: after a
	// restart of all processes an election and a renewal take 0.7 to 1.0 s.
	startTime = 1200 * time.Millisecond
	// startShare is the part of a caller's wait that may pass before its request
	// is placed.
	startShare = 0.5
)

// awaitRoutes holds a request that comes before the first routes while they are
// about to come. A process that lacks them for longer refuses at once.
func (r *Relay) awaitRoutes(ctx context.Context, req *Request) {
	until := r.Started.Add(startTime)
	if share := time.Duration(startShare * float64(req.Wait)); req.Wait > 0 && req.Arrived.Add(share).Before(until) {
		until = req.Arrived.Add(share)
	}
	if !r.lacksRoutes() || !time.Now().Before(until) {
		return
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		next := r.Views.Next()
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
