package relay

import (
	"context"
	"time"
)

const (
	// startTime is how long after its start an entry usually has routes. After a
	// restart of all processes it was 0.2 s by a cold start and 0.8 s by an ordinary
	// election (logs of one day each); the rest is for a second round of the latter.
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
