// Package view holds the immutable snapshots of control state that the traffic
// threads read. Only the control thread publishes them. The package also computes and
// applies the updates that bring the views of other processes up to date.
package view

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

// View is one snapshot of control state. It is immutable once published.
type View struct {
	// Term and Seq order views, Term first.
	Term, Seq uint64
	Table     table.Table
	// Routes is nil until a routing document exists. Its Source is always nil.
	Routes  *routes.Document
	Servers []fleet.Server
	VMs     []fleet.VM
	// Segments are the prompt segments on which engines crash, or may crash.
	Segments quarantine.List
	// LeaseUntil is the time, by clock.Now, at which the view lease expires. No new work may
	// start afterwards unless LeaseOptional is set.
	LeaseUntil time.Time
	// LeaseOptional lets new work start on the last view after its lease has expired.
	LeaseOptional bool
	// Left is set once no VM gives this process's address to callers any more.
	Left bool
	// Leaving is set once this process has begun to stop. New callers should not be
	// directed to it any more.
	Leaving bool
	// Stopping is set once this process admits no new work.
	Stopping bool
}

// Ready reports whether new work may start at time now, by clock.Now like all times that
// are compared with a lease.
func (v *View) Ready(now time.Time) bool {
	return v != nil && !v.Stopping && v.Valid(now)
}

// AcceptsCallers reports whether callers should be directed to a process with this
// view.
func (v *View) AcceptsCallers(now time.Time) bool {
	return v.Ready(now) && v.Routes != nil && !v.Leaving
}

// Valid reports whether the view may be used at time now: its lease is live, or
// optional for a view that came from a leader.
func (v *View) Valid(now time.Time) bool {
	return now.Before(v.LeaseUntil) || v.LeaseOptional && v.Term > 0
}

// freshTime is the time before the end of the lease until which a view is fresh, half of a
// lease: it is renewed several times in the other half.
const freshTime = 1500 * time.Millisecond

// Fresh reports whether a leader has vouched for the view shortly before now. What a view
// lacks that isn't fresh may exist all the same: a leader may have added it since.
func (v *View) Fresh(now time.Time) bool { return now.Add(freshTime).Before(v.LeaseUntil) }

// Newer reports whether v is later than other. Any view is later than nil.
func (v *View) Newer(other *View) bool {
	if other == nil {
		return true
	}
	if v.Term != other.Term {
		return v.Term > other.Term
	}
	return v.Seq > other.Seq
}

// Store passes views from the control thread to the traffic threads. The zero value
// is an empty store.
type Store struct {
	current atomic.Pointer[View]
	mu      sync.Mutex
	// changed is created by Changed. The next Publish closes it and sets it to nil.
	changed chan struct{}
}

// Publish makes v the current view and wakes all waiters. Only the control thread
// may call it.
func (s *Store) Publish(v *View) {
	s.current.Store(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Load returns the current view, or nil before the first publication.
func (s *Store) Load() *View { return s.current.Load() }

// Changed returns a channel that is closed by the next call of Publish.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
