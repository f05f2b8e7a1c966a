// Package peers connects the processes of a cluster by yamux sessions and exchanges
// protobuf messages over them. Delivery is not guaranteed: senders must resend.
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
	"github.com/wagtaildyke/wagtaildyke/root/traffic/budget"
	"github.com/wagtaildyke/wagtaildyke/sockets"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

// Timeouts of dials, connections and queues.
const (
	dialTimeout      = 2 * time.Second
	minRedialBackoff = 50 * time.Millisecond
	maxRedialBackoff = 1 * time.Second
	// unackedTimeout is how long sent data may stay without an acknowledgement before
	// a connection without TLS fails. It is half the time in which a change must reach
	// every entry. TLS connections don't have this timeout: Credentials.Dial does not
	// set it, and sockets.Tune changes no *tls.Conn.
	unackedTimeout = 1500 * time.Millisecond
	// simultaneousOpenWindow is the time within which two sessions between the same
	// processes, one opened by each side, count as opened simultaneously.
	simultaneousOpenWindow = 2 * time.Second
	// maxQueueAge is the age after which a queue without a session is discarded,
	// because its messages are stale.
	maxQueueAge = 2 * time.Second
)

// Peer is a process to dial.
type Peer struct {
	ID      string
	Address string
}

// Deliver receives a message from a peer. It may block while the control
// thread is busy.
type Deliver func(ctx context.Context, from string, msg machine.Message)

// Mesh manages the sessions of this process.
type Mesh struct {
	local   codec.Hello
	deliver Deliver
	log     logr.Logger
	dialer  Dialer
	// requestDial requests a session to a peer. It is nil if peers are not dialed on
	// demand.
	requestDial func(vm string)

	mu       sync.Mutex
	queues   map[string]*queue
	sessions map[string]*session

	sentBytes, receivedBytes atomic.Uint64

	// handshakes bounds the incoming sessions that are being set up, and codecs the
	// messages that are being encoded or decoded, without those of sessions that carry
	// consensus messages.
	handshakes, codecs gate
}

// Dialer opens connections to peers.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// PlainDialer dials TCP without TLS.
func PlainDialer(ctx context.Context, address string) (net.Conn, error) {
	return sockets.Dialer(dialTimeout, unackedTimeout).DialContext(ctx, "tcp", address)
}

// New returns a mesh without sessions.
func New(local codec.Hello, dialer Dialer, deliver Deliver, log logr.Logger) *Mesh {
	return &Mesh{
		local:    local,
		deliver:  deliver,
		dialer:   dialer,
		log:      log,
		queues:   map[string]*queue{},
		sessions: map[string]*session{},

		handshakes: newGate(maxHandshakes),
		codecs:     newProcessorGate(),
	}
}

// Send queues a message, which must not be modified afterwards. It never blocks. If
// the peer's queue is full, the message is dropped.
func (m *Mesh) Send(to string, msg machine.Message) {
	q, connected := m.queue(to)
	q.push(msg)
	if !connected && m.requestDial != nil {
		m.requestDial(to)
	}
}

// queue returns the send queue of a peer and reports whether there is a session.
func (m *Mesh) queue(peer string) (*queue, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	q := m.queues[peer]
	connected := m.sessions[peer] != nil
	if q == nil || !connected && time.Since(q.createdAt) > maxQueueAge {
		q = newQueue()
		m.queues[peer] = q
	}
	return q, connected
}

// serve runs a session until it ends. A newer session replaces an older one to the
// same peer.
func (m *Mesh) serve(ctx context.Context, s *session) error {
	id := s.peer.VM
	q, replaced, ok := m.register(id, s)
	if !ok {
		s.mux.Close()
		return errors.New("closed in favor of a session that the peer opened simultaneously")
	}
	if replaced != nil {
		// Closing waits for the connection, which must delay neither s nor, through m.mu,
		// the control thread.
		go replaced.mux.Close()
	}
	defer m.unregister(id, s)
	m.log.Info("session opened", "peer", id)
	err := s.run(ctx, q, func(msg machine.Message) []byte { return m.encode(s, msg) }, func(frame []byte) { m.handleFrame(ctx, s, frame) })
	m.log.Info("session closed", "peer", id, "reason", errorText(err))
	return err
}

// register makes s the session to a peer. If both sides opened one simultaneously, it
// keeps the one opened by the VM with the smaller id. It returns the send queue, which
// starts empty if it served an earlier session or is older than maxQueueAge, because
// its messages are stale, and the session that s replaces, for the caller to close.
func (m *Mesh) register(id string, s *session) (q *queue, replaced *session, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.sessions[id]
	if old != nil && old.isSimultaneousOpen(s) && old.initiator < s.initiator {
		return nil, nil, false
	}
	m.sessions[id] = s
	q = m.queues[id]
	if old != nil || q == nil || time.Since(q.createdAt) > maxQueueAge {
		q = newQueue()
		m.queues[id] = q
	}
	return q, old, true
}

func (m *Mesh) unregister(id string, s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sessions[id] == s {
		delete(m.sessions, id)
		delete(m.queues, id)
	}
}

// encode returns the frame of a message, or nil if it can't be encoded.
func (m *Mesh) encode(s *session, msg machine.Message) []byte {
	defer m.enterCodecs(s, msg)()
	frame, err := codec.EncodeMessage(msg)
	if err != nil {
		m.log.Error(err, "dropped a message: encoding failed")
		return nil
	}
	m.sentBytes.Add(uint64(len(frame)))
	return frame
}

// enterCodecs waits until a message of a session may be encoded or decoded. The result ends
// that. A consensus message makes its session one of two replicas, which never waits. msg
// is nil for a message that is still to be decoded.
func (m *Mesh) enterCodecs(s *session, msg machine.Message) (leave func()) {
	if _, ok := msg.(machine.ConsensusMessage); ok {
		s.betweenReplicas.Store(true)
	}
	if s.betweenReplicas.Load() {
		return func() {}
	}
	m.codecs.enter()
	return m.codecs.leave
}

func (m *Mesh) handleFrame(ctx context.Context, s *session, frame []byte) {
	from := s.peer.VM
	m.receivedBytes.Add(uint64(len(frame)))
	msg, err := m.decode(s, frame)
	if err != nil {
		m.log.Error(err, "dropped a frame: decoding failed", "peer", from)
		return
	}
	if _, ok := msg.(machine.ConsensusMessage); ok {
		s.betweenReplicas.Store(true)
	}
	m.deliver(ctx, from, msg)
}

func (m *Mesh) decode(s *session, frame []byte) (msg machine.Message, err error) {
	defer m.enterCodecs(s, nil)()
	err = supervise.Catch(part, func() (err error) {
		msg, err = codec.DecodeMessage(frame)
		return err
	})
	return msg, err
}

// Stats holds the total size of the frames encoded for sending and of the received
// ones, and the number of open sessions. The first includes frames that were dropped
// or whose write failed.
type Stats struct {
	SentBytes     uint64 `json:"sent_bytes"`
	ReceivedBytes uint64 `json:"received_bytes"`
	Sessions      int    `json:"sessions"`
}

// Stats returns the current statistics.
func (m *Mesh) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Stats{m.sentBytes.Load(), m.receivedBytes.Load(), len(m.sessions)}
}

// Link returns the service that maintains a session to peer p.
func (m *Mesh) Link(p Peer) *Link { return &Link{mesh: m, peer: p} }

// Link is the service that maintains a session to one peer. It dials again whenever
// the session ends.
type Link struct {
	mesh *Mesh
	peer Peer
}

// Serve runs until ctx ends.
func (l *Link) Serve(ctx context.Context) error {
	backoff := minRedialBackoff
	for ctx.Err() == nil {
		started := time.Now()
		err := l.runSession(ctx)
		if time.Since(started) > maxRedialBackoff {
			backoff = minRedialBackoff
		}
		l.mesh.log.V(1).Info("session ended or could not be opened", "peer", l.peer.ID, "reason", errorText(err))
		sleep(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, maxRedialBackoff)
	}
	return ctx.Err()
}

// runSession dials the peer and runs the session until it ends.
func (l *Link) runSession(ctx context.Context) error {
	conn, err := l.mesh.dialer(ctx, l.peer.Address)
	if err != nil {
		return err
	}
	s, err := open(conn, l.mesh.local)
	if err != nil {
		conn.Close()
		return err
	}
	if s.peer.VM != l.peer.ID {
		s.mux.Close()
		return errors.New("a different VM answered at this address")
	}
	return l.mesh.serve(ctx, s)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func sleep(ctx context.Context, d time.Duration) {
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
	// beingSetUp has a claim of 1 for each connection whose session is being set up.
	beingSetUp *budget.Budget
	// onEvicted is called for each connection that is closed to make room for a newer one.
	onEvicted func()
}

// Acceptor returns the service that accepts sessions on ln, of which at most maxBeingSetUp
// are being set up. It closes ln when it ends.
func (m *Mesh) Acceptor(ln net.Listener, maxBeingSetUp int64, onEvicted func()) *Acceptor {
	return &Acceptor{
		mesh: m, ln: ln, onEvicted: onEvicted,
		beingSetUp: budget.New(budget.Options{Large: maxBeingSetUp}),
	}
}

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
		limited := newSetUpConn(conn)
		claim := a.beingSetUp.Open(time.Now(), func() {
			a.onEvicted()
			limited.Close()
		})
		if !claim.Resize(1, time.Now()) {
			conn.Close()
			continue
		}
		go a.handle(ctx, conn, limited, claim)
	}
}

func (a *Acceptor) handle(ctx context.Context, conn net.Conn, limited *setUpConn, claim *budget.Claim) {
	defer claim.Release()
	if err := sockets.Configure(conn, unackedTimeout); err != nil {
		a.mesh.log.Error(err, "failed to set TCP options", "remote", conn.RemoteAddr().String())
	}
	var s *session
	err := supervise.Catch(part, func() (err error) {
		defer a.mesh.handshakes.enterFor(maxHandshakeTurn)()
		s, err = accept(limited, a.mesh.local)
		return err
	})
	if err != nil {
		conn.Close()
		a.mesh.log.V(1).Info("rejected a session", "remote", conn.RemoteAddr().String(), "reason", err.Error())
		return
	}
	if !claim.Settle() {
		s.mux.Close()
		return
	}
	claim.Release()
	limited.setUp()
	// The error of an ended session is ignored: the dialing side opens the next one.
	_ = a.mesh.serve(ctx, s)
}
