package relay

import (
	"context"
	"time"
)

const (
	// patienceShare is the part of the time left that an attempt may pass without
	// a first sign of an answer: what remains is enough for another one.
	patienceShare = 0.5
	// minPatience keeps short deadlines from ending attempts over a hiccup.
	minPatience = 300 * time.Millisecond
)

// watch ends an attempt that brings no sign of an answer, once another attempt is
// sure to be allowed. An answer that has begun is never ended for its silence.
type watch struct {
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
}

func (r *run) newWatch(ctx context.Context) *watch {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{ctx: ctx, cancel: cancel}
	another := r.sends+1 < r.route.MaxAttempts
	if another && r.route.Idempotent() && !r.headSent {
		patience := time.Duration(patienceShare * float64(time.Until(r.deadline)))
		w.timer = time.AfterFunc(max(minPatience, patience), func() { r.giveUp(cancel) })
	}
	return w
}

// giveUp ends an attempt when the retry budget has room for another one.
func (r *run) giveUp(cancel context.CancelFunc) {
	if !r.Retries.Take(r.service.Name, time.Now()) {
		return
	}
	r.reserved.Store(true)
	cancel()
}

// begun notes the first sign of an answer.
func (w *watch) begun() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watch) stop() {
	w.begun()
	w.cancel()
}
