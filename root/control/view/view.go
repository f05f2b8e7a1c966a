// Package view holds the immutable picture of control state that traffic reads.
// The control thread is its only writer.
package view

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

// View is one published picture. It is never changed after publication.
type View struct {
	// Term and Seq order views: a later term wins, then a later sequence.
	Term, Seq uint64
	Table     table.Table
	// Routes is nil before the first document of routes; it has no source.
	Routes  *routes.Document
	Servers []fleet.Server
	VMs     []fleet.VM
	// LeaseUntil is the local time after which no new work may start.
	LeaseUntil time.Time
	// LeaseOptional says that new work may also start without a live lease.
	LeaseOptional bool
	// Left is set once no entry gives this process's address to callers any more.
	Left bool
	// Leaving is set once this process wants no new callers.
	Leaving bool
	// Stopping is set once this process has begun its graceful stop.
	Stopping bool
}

// Ready reports whether new work may start at the given time.
func (v *View) Ready(now time.Time) bool {
	return v != nil && !v.Stopping && v.InForce(now)
}

// TakesCallers reports whether an entry with this view wants new callers.
func (v *View) TakesCallers(now time.Time) bool {
	return v.Ready(now) && v.Routes != nil && !v.Leaving
}

// InForce reports whether this process may act by the view at the given time.
func (v *View) InForce(now time.Time) bool {
	return now.Before(v.LeaseUntil) || v.LeaseOptional && v.Term > 0
}

// Newer reports whether v comes after other.
func (v *View) Newer(other *View) bool {
	if other == nil {
		return true
	}
	if v.Term != other.Term {
		return v.Term > other.Term
	}
	return v.Seq > other.Seq
}

// Store hands views from the control thread to traffic. Its zero value holds none.
type Store struct {
	current atomic.Pointer[View]
	mu      sync.Mutex
	// next is closed at the next publication; nil while nobody waits.
	next chan struct{}
}

// Publish makes v the current view. Only the control thread calls it.
func (s *Store) Publish(v *View) {
	s.current.Store(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}

// Load returns the current view, or nil before the first publication.
func (s *Store) Load() *View { return s.current.Load() }

// Next returns a channel that is closed at the next publication.
func (s *Store) Next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}
