package dispatch

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

// Lease is a slot on a backend server that is held for one request. It does not
// expire: its holder ends it with Done.
type Lease struct {
	d     *Dispatcher
	grant Grant
}

// Server returns the backend server as it was when the slot was granted.
func (l *Lease) Server() fleet.Server { return l.grant.Server }

// Class returns the class as it was when the slot was granted.
func (l *Lease) Class() table.Class { return l.grant.Class }

// HedgeAfter returns the wait for the first token after which a second attempt by
// Retry is worthwhile; 0 without enough samples.
func (l *Lease) HedgeAfter() time.Duration { return l.grant.HedgeAfter() }

// ObserveTokens records n output tokens received now. The time of the first call is
// taken as that of the first token.
func (l *Lease) ObserveTokens(n int) {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	l.d.state.ObserveTokens(l.d.now(), l.grant.ID, n)
}

// Slow reports whether the server has become so slow that moving the rest of the
// response to another one by Retry is worthwhile. A forwarder polls it while it
// streams.
func (l *Lease) Slow() bool {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	return l.d.state.Slow(l.d.now(), l.grant.ID)
}

// Done ends the lease and serves the queue. Later calls do nothing.
func (l *Lease) Done(o Outcome) {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	now := l.d.now()
	l.d.state.Done(now, l.grant.ID, o)
	l.d.serveQueue(now)
}
