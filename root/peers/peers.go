// Package peers keeps yamux sessions between the system's own processes and
// moves protobuf frames over them. Delivery is not assured: senders resend.
package peers

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/sockets"
)

// Bounds on redialling a peer.
const (
	dialTimeout = 2 * time.Second
	redialFirst = 50 * time.Millisecond
	redialMost  = 1 * time.Second
	// silence is how long a peer may acknowledge nothing: half the time in which
	// a change must reach every entry.
	silence = 1500 * time.Millisecond
	// crossedDials is the time within which two sessions of one pair were opened
	// by both sides at once.
	crossedDials = 2 * time.Second
	// staleQueue is the age past which what waits for a session is out of date.
	staleQueue = 2 * time.Second
)

// Peer is another process to dial.
type Peer struct {
	ID      string
	Address string
}

// Deliver receives a message from a peer. It may block while the control
// thread is busy.
type Deliver func(ctx context.Context, from string, msg machine.Message)

// Mesh holds the sessions of this process.
type Mesh struct {
	own     codec.Hello
	deliver Deliver
	log     logr.Logger
	dialer  Dialer
	// need asks for a session to a peer; nil where all peers are dialled anyway.
	need func(vm string)

	mu     sync.Mutex
	queues map[string]*queue
	live   map[string]*session

	sentBytes, receivedBytes atomic.Uint64
}

// Dialer opens connections to peers, such as with TLS.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// PlainDialer dials TCP without TLS.
func PlainDialer(ctx context.Context, address string) (net.Conn, error) {
	return sockets.Dialer(dialTimeout, silence).DialContext(ctx, "tcp", address)
}

// New returns a mesh without sessions.
func New(own codec.Hello, dialer Dialer, deliver Deliver, log logr.Logger) *Mesh {
	return &Mesh{
		own:     own,
		deliver: deliver,
		dialer:  dialer,
		log:     log,
		queues:  map[string]*queue{},
		live:    map[string]*session{},
	}
}

// Send queues a message, which must not change any more. It never blocks; a
// message to a peer without room in its queue is dropped.
func (m *Mesh) Send(to string, msg machine.Message) {
	q, live := m.queue(to)
	q.push(msg)
	if !live && m.need != nil {
		m.need(to)
	}
}

// queue returns the queue to a peer and whether a session takes from it.
func (m *Mesh) queue(peer string) (*queue, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	q := m.queues[peer]
	live := m.live[peer] != nil
	if q == nil || !live && time.Since(q.made) > staleQueue {
		q = newQueue()
		m.queues[peer] = q
	}
	return q, live
}

// serve runs one session. A newer session replaces an older one to the same peer.
func (m *Mesh) serve(ctx context.Context, s *session) error {
	id := s.peer.VM
	q, ok := m.replace(id, s)
	if !ok {
		s.mux.Close()
		return errors.New("a session opened by the other side at the same time is kept")
	}
	defer m.remove(id, s)
	m.log.Info("a session opened", "peer", id)
	err := s.run(ctx, q, m.encode, func(frame []byte) { m.received(ctx, id, frame) })
	m.log.Info("a session closed", "peer", id, "reason", errText(err))
	return err
}

// replace makes s the session to a peer, unless both sides opened one at the
// same time: then that of the smaller id stays. The queue keeps only what waits
// for a first session: what waited for an earlier one is out of date.
func (m *Mesh) replace(id string, s *session) (*queue, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.live[id]
	if old != nil && old.crosses(s) && old.opener < s.opener {
		return nil, false
	}
	if old != nil {
		old.mux.Close()
	}
	m.live[id] = s
	q := m.queues[id]
	if old != nil || q == nil || time.Since(q.made) > staleQueue {
		q = newQueue()
		m.queues[id] = q
	}
	return q, true
}

func (m *Mesh) remove(id string, s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.live[id] == s {
		delete(m.live, id)
		delete(m.queues, id)
	}
}

// encode returns the frame of a message; nil for one that can't be encoded.
func (m *Mesh) encode(msg machine.Message) []byte {
	frame, err := codec.EncodeMessage(msg)
	if err != nil {
		m.log.Error(err, "dropped a message that can't be encoded")
		return nil
	}
	m.sentBytes.Add(uint64(len(frame)))
	return frame
}

func (m *Mesh) received(ctx context.Context, from string, frame []byte) {
	m.receivedBytes.Add(uint64(len(frame)))
	msg, err := codec.DecodeMessage(frame)
	if err != nil {
		m.log.Error(err, "dropped a frame that can't be decoded", "peer", from)
		return
	}
	m.deliver(ctx, from, msg)
}

// Stats counts bytes of frames and open sessions.
type Stats struct {
	SentBytes     uint64 `json:"sent_bytes"`
	ReceivedBytes uint64 `json:"received_bytes"`
	Sessions      int    `json:"sessions"`
}

// Stats returns the counters.
func (m *Mesh) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Stats{m.sentBytes.Load(), m.receivedBytes.Load(), len(m.live)}
}

// Link is the service that keeps a session to one peer.
func (m *Mesh) Link(p Peer) *Link { return &Link{mesh: m, peer: p} }

// Link dials one peer again whenever its session ends.
type Link struct {
	mesh *Mesh
	peer Peer
}

// Serve runs until ctx ends.
func (l *Link) Serve(ctx context.Context) error {
	wait := redialFirst
	for ctx.Err() == nil {
		started := time.Now()
		err := l.once(ctx)
		if time.Since(started) > redialMost {
			wait = redialFirst
		}
		l.mesh.log.V(1).Info("peer is not connected", "peer", l.peer.ID, "reason", errText(err))
		pause(ctx, wait/2+rand.N(wait/2))
		wait = min(2*wait, redialMost)
	}
	return ctx.Err()
}

func (l *Link) once(ctx context.Context) error {
	conn, err := l.mesh.dialer(ctx, l.peer.Address)
	if err != nil {
		return err
	}
	s, err := open(conn, l.mesh.own)
	if err != nil {
		conn.Close()
		return err
	}
	if s.peer.VM != l.peer.ID {
		s.mux.Close()
		return errors.New("another VM answers at this address")
	}
	return l.mesh.serve(ctx, s)
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Acceptor is the service that accepts sessions on one listener.
type Acceptor struct {
	mesh *Mesh
	ln   net.Listener
}

// Acceptor returns the service for ln. It closes ln when it ends.
func (m *Mesh) Acceptor(ln net.Listener) *Acceptor { return &Acceptor{mesh: m, ln: ln} }

// Serve runs until ctx ends.
func (a *Acceptor) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { a.ln.Close() })
	defer stop()
	for {
		conn, err := a.ln.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return err
		}
		go a.handle(ctx, conn)
	}
}

func (a *Acceptor) handle(ctx context.Context, conn net.Conn) {
	if err := sockets.Tune(conn, silence); err != nil {
		a.mesh.log.Error(err, "can't set options of a connection", "remote", conn.RemoteAddr().String())
	}
	s, err := accept(conn, a.mesh.own)
	if err != nil {
		conn.Close()
		a.mesh.log.V(1).Info("refused a session", "remote", conn.RemoteAddr().String(), "reason", err.Error())
		return
	}
	// The end of a session needs no answer here: the dialling side opens the next one.
	_ = a.mesh.serve(ctx, s)
}
