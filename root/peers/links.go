package peers

import (
	"context"
	"sync"
	"time"

	"github.com/wagtaildyke/wagtaildyke/supervise"
)

// needQueue is the number of peers that may wait for a dial at once; a need
// without room is stated again by the next message to that peer.
const needQueue = 256

// Links is the service that dials a peer when there is something to send to it
// and no session. A session lasts until it breaks.
type Links struct {
	mesh    *Mesh
	address func(vm string) string
	needs   chan string

	mu      sync.Mutex
	dialing map[string]bool
	// nextTry and wait are the back-off of each peer whose last dial failed.
	nextTry map[string]time.Time
	wait    map[string]time.Duration
}

var _ supervise.Service = (*Links)(nil)

// Links returns the service. address maps a VM's id to its host:port.
func (m *Mesh) Links(address func(vm string) string) *Links {
	l := &Links{
		mesh:    m,
		address: address,
		needs:   make(chan string, needQueue),
		dialing: map[string]bool{},
		nextTry: map[string]time.Time{},
		wait:    map[string]time.Duration{},
	}
	m.need = l.need
	return l
}

// need asks for a session to a peer. It never blocks.
func (l *Links) need(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dialing[vm] || time.Now().Before(l.nextTry[vm]) {
		return
	}
	select {
	case l.needs <- vm:
		l.dialing[vm] = true
	default:
	}
}

// Serve runs until ctx ends.
func (l *Links) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case vm := <-l.needs:
			go l.dial(ctx, vm)
		}
	}
}

// dial runs one session to its end.
func (l *Links) dial(ctx context.Context, vm string) {
	started := time.Now()
	link := &Link{mesh: l.mesh, peer: Peer{ID: vm, Address: l.address(vm)}}
	err := link.once(ctx)
	l.mesh.log.V(1).Info("peer is not connected", "peer", vm, "reason", errText(err))
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.dialing, vm)
	if time.Since(started) > redialMost {
		delete(l.wait, vm)
	}
	wait := max(redialFirst, min(2*l.wait[vm], redialMost))
	l.wait[vm] = wait
	l.nextTry[vm] = time.Now().Add(wait)
}
