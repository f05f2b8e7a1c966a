package relay

import (
	"context"
	"time"
)

const (
	// patienceShare is the part of the time left that an attempt may pass without
	// a first sign of an answer: what remains is enough for another one.
	patienceShare = 0.5
	// gapPatience is the pause within a stream, in pauses that are still on time,
	// past which it goes on at another server.
	gapPatience = 4
	// minPatience keeps short objectives from ending attempts over a hiccup.
	minPatience = 300 * time.Millisecond
)

// watch ends an attempt that brings no sign of progress, where another attempt
// could do better.
type watch struct {
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	gap    time.Duration
}

func (r *run) newWatch(ctx context.Context) *watch {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{ctx: ctx, cancel: cancel, gap: max(minPatience, gapPatience*r.route.MaxGap)}
	another := r.sends+1 < r.route.MaxAttempts
	if another && r.route.Idempotent() {
		patience := time.Duration(patienceShare * float64(time.Until(r.deadline)))
		w.timer = time.AfterFunc(max(minPatience, patience), cancel)
	}
	return w
}

// progress notes an event of a stream.
func (w *watch) progress() {
	if w.timer != nil {
		w.timer.Reset(w.gap)
	}
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel()
}
