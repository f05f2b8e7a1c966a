package dispatch

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

// Lease is a place on a backend server. Its holder ends it with Done.
type Lease struct {
	d     *Dispatcher
	grant Grant
}

// Server returns the backend server as it was when the place was granted.
func (l *Lease) Server() fleet.Server { return l.grant.Server }

// Class returns the class as it was when the place was granted.
func (l *Lease) Class() table.Class { return l.grant.Class }

// HedgeAfter returns the wait for the first token past which a second attempt
// by Retry is worthwhile; 0 when unknown.
func (l *Lease) HedgeAfter() time.Duration { return l.grant.HedgeAfter() }

// Tokens counts n output tokens observed now; the first call is the first token.
func (l *Lease) Tokens(n int) {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	l.d.state.Tokens(l.d.now(), l.grant.ID, n)
}

// Done ends the lease and serves the line. Later calls do nothing.
func (l *Lease) Done(o Outcome) {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	now := l.d.now()
	l.d.state.Done(now, l.grant.ID, o)
	l.d.serve(now)
}
