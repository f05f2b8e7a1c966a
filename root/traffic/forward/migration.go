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

// migration monitors one attempt and moves its stream to another server if its server
// is slow. The attempt is cancelled only after a lease on the other server has been
// acquired.
type migration struct {
	dispatcher *dispatch.Dispatcher
	from       *dispatch.Lease
	// request is the request for the other server. Its MaxOutputTokens is that of the
	// whole response.
	request dispatch.Request
	cancel  context.CancelFunc
	timer   *time.Timer

	mu sync.Mutex
	// acquiring is set once a lease on another server has been requested; it stays set
	// if the request fails.
	acquiring bool
	// events counts the events of this attempt that allowEvent has permitted.
	events int
	// disabled is set once the attempt may not migrate; it is never cleared.
	disabled bool
	// target is the lease on the other server; nil for none.
	target *dispatch.Lease
}

// newMigration returns the migration of one attempt, and starts its timer for a late
// first event. cancel ends the attempt when it migrates.
func (run *idempotentRun) newMigration(ctx context.Context, from *dispatch.Lease, cancel context.CancelFunc) *migration {
	request := run.r.Dispatch
	request.Exclude = append(slices.Clone(request.Exclude), from.Server().ID)
	m := &migration{dispatcher: run.f.Dispatcher, from: from, request: request, cancel: cancel}
	if run.migrations >= maxMigrations || !run.r.Call.Stream {
		m.disabled = true
		return m
	}
	if wait := from.HedgeAfter(); wait > 0 && run.received == 0 {
		m.timer = time.AfterFunc(wait, func() { m.migrateIfNoEvent(ctx) })
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
	m.disabled = m.disabled || !resumable
	if !m.disabled && !m.acquiring && m.events%slowCheckEvents == 0 && m.from.Slow() {
		m.acquiring = true
		go m.acquireTarget(ctx)
	}
	return true
}

// migrateIfNoEvent migrates the attempt if it has received no event. The timer for a
// late first event calls it.
func (m *migration) migrateIfNoEvent(ctx context.Context) {
	m.mu.Lock()
	mayMigrate := !m.disabled && !m.acquiring && m.events == 0
	m.acquiring = m.acquiring || mayMigrate
	m.mu.Unlock()
	if mayMigrate {
		m.acquireTarget(ctx)
	}
}

// acquireTarget acquires a lease on another server and cancels the attempt. If it gets
// no lease, the attempt continues.
func (m *migration) acquireTarget(ctx context.Context) {
	next, err := m.dispatcher.Retry(ctx, m.from, m.request)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.disabled {
		next.Done(dispatch.Cancelled)
		return
	}
	m.target = next
	m.cancel()
}

// stop rules out a migration from now on, and returns the lease on the server to which
// the response migrates; nil for none.
func (m *migration) stop() *dispatch.Lease {
	if m.timer != nil {
		m.timer.Stop()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disabled = true
	return m.target
}

// errMigrated is the error of an attempt whose response migrates to another server.
func errMigrated() error {
	return fault.New(fault.StreamCut, part, "response migrated to another server")
}
