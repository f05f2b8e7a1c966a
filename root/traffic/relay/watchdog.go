package relay

import (
	"context"
	"time"
)

const (
	// watchdogShare is the share of the remaining time after which an attempt without
	// output is cancelled. It leaves enough time for another attempt.
	watchdogShare = 0.5
	// minWatchdogTimeout keeps brief delays from ending attempts when the deadline is
	// short.
	minWatchdogTimeout = 300 * time.Millisecond
)

// watchdog cancels an attempt at an idempotent request that produces no output in time,
// provided that MaxAttempts and the retry budget permit another attempt. A stream that
// has begun is never cancelled for a pause: its first event disarms the watchdog, and
// an attempt that resumes it has no timer. Neither has a probe, which is never retried.
type watchdog struct {
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
}

func (r *requestRun) newWatchdog(ctx context.Context) *watchdog {
	ctx, cancel := context.WithCancel(ctx)
	w := &watchdog{ctx: ctx, cancel: cancel}
	another := r.transmissions+1 < r.route.MaxAttempts
	if another && r.route.Idempotent() && !r.headSent && r.probe == nil {
		timeout := time.Duration(watchdogShare * float64(time.Until(r.deadline)))
		w.timer = time.AfterFunc(max(minWatchdogTimeout, timeout), func() { r.cancelForRetry(cancel) })
	}
	return w
}

// cancelForRetry cancels an attempt if the retry budget permits another one, and
// reserves that retry.
func (r *requestRun) cancelForRetry(cancel context.CancelFunc) {
	if !r.RetryBudget.Take(r.service.Name, time.Now()) {
		return
	}
	r.retryReserved.Store(true)
	cancel()
}

// disarm stops the timer; the attempt is not cancelled any more.
func (w *watchdog) disarm() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watchdog) stop() {
	w.disarm()
	w.cancel()
}
