package peers

import (
	"context"
	"sync"
	"time"

	"github.com/wagtaildyke/wagtaildyke/supervise"
)

// dialQueueSize bounds the queued dial requests. If the queue is full, a request is
// dropped, and the next message to that peer repeats it.
const dialQueueSize = 256

// OnDemandLinks is the service that dials a peer when there is a message for it and
// no session. A session stays open until it fails.
type OnDemandLinks struct {
	mesh         *Mesh
	address      func(vm string) string
	dialRequests chan string

	mu      sync.Mutex
	dialing map[string]bool
	// nextAttempt and backoff hold, per peer, the earliest time of the next dial and
	// the delay before it.
	nextAttempt map[string]time.Time
	backoff     map[string]time.Duration
}

var _ supervise.Service = (*OnDemandLinks)(nil)

// OnDemandLinks returns the service that dials peers on demand. address returns the
// host:port of a VM.
func (m *Mesh) OnDemandLinks(address func(vm string) string) *OnDemandLinks {
	l := &OnDemandLinks{
		mesh:         m,
		address:      address,
		dialRequests: make(chan string, dialQueueSize),
		dialing:      map[string]bool{},
		nextAttempt:  map[string]time.Time{},
		backoff:      map[string]time.Duration{},
	}
	m.requestDial = l.requestDial
	return l
}

// requestDial requests a session to a peer. It never blocks.
func (l *OnDemandLinks) requestDial(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dialing[vm] || time.Now().Before(l.nextAttempt[vm]) {
		return
	}
	select {
	case l.dialRequests <- vm:
		l.dialing[vm] = true
	default:
	}
}

// Serve runs until ctx ends.
func (l *OnDemandLinks) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case vm := <-l.dialRequests:
			go l.runSession(ctx, vm)
		}
	}
}

// runSession dials a peer and runs the session until it ends.
func (l *OnDemandLinks) runSession(ctx context.Context, vm string) {
	started := time.Now()
	link := &Link{mesh: l.mesh, peer: Peer{ID: vm, Address: l.address(vm)}}
	err := supervise.Catch(part, func() error { return link.runSession(ctx) })
	l.mesh.log.V(1).Info("session ended or could not be opened", "peer", vm, "reason", errorText(err))
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.dialing, vm)
	if time.Since(started) > maxRedialBackoff {
		delete(l.backoff, vm)
	}
	backoff := max(minRedialBackoff, min(2*l.backoff[vm], maxRedialBackoff))
	l.backoff[vm] = backoff
	l.nextAttempt[vm] = time.Now().Add(backoff)
}
