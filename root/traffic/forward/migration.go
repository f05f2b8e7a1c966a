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
	// maxMigrations limits the migrations of one response away from slow servers.
	maxMigrations = 2
	// slowCheckEvents is the number of events between two checks for a slow server.
	slowCheckEvents = 8
)

// migration moves a stream from a slow server to another one. The attempt at the slow
// server is cancelled only after a lease on the other server has been acquired.
type migration struct {
	dispatcher *dispatch.Dispatcher
	from       *dispatch.Lease
	work       dispatch.Request
	cancel     context.CancelFunc
	timer      *time.Timer

	mu sync.Mutex
	// acquiring is set once the lease on another server is being acquired.
	acquiring bool
	// events counts the events that this attempt has passed on.
	events int
	// ended is set when the attempt is over or can no longer migrate.
	ended  bool
	target *dispatch.Lease
}

// newMigration monitors one attempt. cancel ends the attempt when it migrates.
func (run *idempotentRun) newMigration(ctx context.Context, from *dispatch.Lease, cancel context.CancelFunc) *migration {
	work := run.r.Dispatch
	work.Exclude = append(slices.Clone(work.Exclude), from.Server().ID)
	m := &migration{dispatcher: run.f.Dispatcher, from: from, work: work, cancel: cancel}
	if run.migrations >= maxMigrations || !run.r.Call.Stream {
		m.ended = true
		return m
	}
	if wait := from.HedgeAfter(); wait > 0 && run.received == 0 {
		m.timer = time.AfterFunc(wait, func() { m.hedge(ctx) })
	}
	return m
}

// allowEvent reports whether the next event may be written to the caller. After the
// migration it may not, because the other server sends it again. An event of a stream
// that is not resumable rules out a migration.
func (m *migration) allowEvent(ctx context.Context, resumable bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.target != nil {
		return false
	}
	m.events++
	m.ended = m.ended || !resumable
	if !m.ended && !m.acquiring && m.events%slowCheckEvents == 0 && m.from.Slow() {
		m.acquiring = true
		go m.acquireTarget(ctx)
	}
	return true
}

// hedge acquires a lease on another server if the first token is late.
func (m *migration) hedge(ctx context.Context) {
	m.mu.Lock()
	idle := !m.ended && !m.acquiring && m.events == 0
	m.acquiring = m.acquiring || idle
	m.mu.Unlock()
	if idle {
		m.acquireTarget(ctx)
	}
}

// acquireTarget acquires a lease on another server and cancels the attempt. If there
// is no lease to be had, the attempt continues.
func (m *migration) acquireTarget(ctx context.Context) {
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
	m.target = next
	m.cancel()
}

// stop ends the monitoring and returns the lease to which the response migrates; nil
// for none.
func (m *migration) stop() *dispatch.Lease {
	if m.timer != nil {
		m.timer.Stop()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	return m.target
}

// errMigrated is the error of an attempt whose response migrates to another server.
func errMigrated() error {
	return fault.New(fault.StreamCut, part, "response migrated to another server")
}
