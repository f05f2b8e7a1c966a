package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
)

const (
	// maxMoves bounds how often one answer moves away from a slow server.
	maxMoves = 2
	// slowCheckEvents is the number of events between two looks at the speed.
	slowCheckEvents = 8
)

// mover takes a second place for an answer whose server is too slow. The first
// one is given up only once the second is there.
type mover struct {
	dispatcher *dispatch.Dispatcher
	from       *dispatch.Lease
	work       dispatch.Request
	cancel     context.CancelFunc
	timer      *time.Timer

	mu sync.Mutex
	// taking is set once a second place is being sought.
	taking bool
	// events counts those passed on by this attempt.
	events int
	// ended is set when the attempt is over or can't be moved any more.
	ended bool
	next  *dispatch.Lease
}

// newMover watches one attempt. cancel ends it when the answer moves.
func (run *idempotentRun) newMover(ctx context.Context, from *dispatch.Lease, cancel context.CancelFunc) *mover {
	work := run.r.Work
	work.Exclude = append(slices.Clone(work.Exclude), from.Server().ID)
	m := &mover{dispatcher: run.f.Dispatcher, from: from, work: work, cancel: cancel}
	if run.moves >= maxMoves || !run.r.Call.Stream {
		m.ended = true
		return m
	}
	if wait := from.HedgeAfter(); wait > 0 && run.received == 0 {
		m.timer = time.AfterFunc(wait, func() { m.take(ctx) })
	}
	return m
}

// pass asks whether the next event may go to the caller. It may not once the
// answer has moved: the other server sends it again. Events without numbers
// end the chance to move.
func (m *mover) pass(ctx context.Context, resumable bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.next != nil {
		return false
	}
	m.events++
	m.ended = m.ended || !resumable
	if !m.ended && !m.taking && m.events%slowCheckEvents == 0 && m.from.Slow() {
		m.taking = true
		go m.seek(ctx)
	}
	return true
}

// take seeks a second place when the first token is late.
func (m *mover) take(ctx context.Context) {
	m.mu.Lock()
	idle := !m.ended && !m.taking && m.events == 0
	m.taking = m.taking || idle
	m.mu.Unlock()
	if idle {
		m.seek(ctx)
	}
}

// seek waits for a place at another server. Without one the attempt goes on.
func (m *mover) seek(ctx context.Context) {
	next, err := m.dispatcher.Retry(ctx, m.from, m.work)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		next.Done(dispatch.Cancelled)
		return
	}
	m.next = next
	m.cancel()
}

// end closes the watch and returns the place that the answer moves to, if any.
func (m *mover) end() *dispatch.Lease {
	if m.timer != nil {
		m.timer.Stop()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	return m.next
}

// errMoved ends an attempt whose answer goes on at another server.
func errMoved() error {
	return fault.New(fault.StreamCut, part, "the answer moved to another server")
}
