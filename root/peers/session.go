package peers

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

// Parameters of a session.
const (
	helloTimeout      = 3 * time.Second
	writeTimeout      = 2 * time.Second
	keepAliveInterval = 1 * time.Second
	streamsPerSession = 2
	readBufferBytes   = 4 << 10
)

func muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = helloTimeout
	cfg.StreamCloseTimeout = helloTimeout
	cfg.AcceptBacklog = streamsPerSession
	cfg.LogOutput = io.Discard
	return cfg
}

// session is a connection to a peer with an urgent and a bulk stream.
type session struct {
	mux  *yamux.Session
	peer codec.Hello
	// initiator is the VM that dialed.
	initiator string
	openedAt  time.Time
	// betweenReplicas is set once a consensus message was sent or received.
	betweenReplicas atomic.Bool
	streams         [streamsPerSession]*stream
}

// stream is a yamux stream with a buffered reader. The reader is kept after the
// handshake because it may have buffered data beyond the hello.
type stream struct {
	net.Conn
	r *bufio.Reader
	// below is the connection that carries the session.
	below *streamConn
}

func newStream(c net.Conn, below *streamConn) *stream {
	return &stream{Conn: c, r: bufio.NewReaderSize(c, readBufferBytes), below: below}
}

// open performs the handshake on an outgoing connection.
func open(conn net.Conn, local codec.Hello) (*session, error) {
	below := &streamConn{Conn: conn}
	mux, err := yamux.Client(below, muxConfig())
	if err != nil {
		return nil, err
	}
	s, err := handshake(mux, below, local, mux.Open)
	if err == nil {
		s.initiator = local.VM
	}
	return s, err
}

// accept performs the handshake on an incoming connection.
func accept(conn net.Conn, local codec.Hello) (*session, error) {
	below := &streamConn{Conn: conn}
	mux, err := yamux.Server(below, muxConfig())
	if err != nil {
		return nil, err
	}
	s, err := handshake(mux, below, local, mux.Accept)
	if err == nil {
		s.initiator = s.peer.VM
	}
	return s, err
}

func handshake(mux *yamux.Session, below *streamConn, local codec.Hello, nextStream func() (net.Conn, error)) (*session, error) {
	timer := time.AfterFunc(helloTimeout, func() { mux.Close() })
	defer timer.Stop()
	s := &session{mux: mux, openedAt: time.Now()}
	for i := range s.streams {
		st, hello, err := exchangeHello(below, local, nextStream)
		if err != nil {
			mux.Close()
			return nil, err
		}
		s.streams[i] = st
		s.peer = hello
	}
	return s, nil
}

// isSimultaneousOpen reports whether s and other are sessions between the same
// processes, opened by different sides at about the same time.
func (s *session) isSimultaneousOpen(other *session) bool {
	return s.peer.Incarnation == other.peer.Incarnation && s.initiator != other.initiator &&
		other.openedAt.Sub(s.openedAt) < simultaneousOpenWindow
}

// exchangeHello opens or accepts a stream, sends the local hello and reads that of the
// peer. It fails if the peer belongs to another cluster.
func exchangeHello(below *streamConn, local codec.Hello, nextStream func() (net.Conn, error)) (*stream, codec.Hello, error) {
	conn, err := nextStream()
	if err != nil {
		return nil, codec.Hello{}, err
	}
	if err := below.attach(conn); err != nil {
		return nil, codec.Hello{}, err
	}
	frame, err := codec.EncodeHello(local)
	if err != nil {
		return nil, codec.Hello{}, err
	}
	if err := writeFrame(conn, frame); err != nil {
		return nil, codec.Hello{}, err
	}
	st := newStream(conn, below)
	response, err := readFrame(st.r, maxHelloBytes)
	if err != nil {
		return nil, codec.Hello{}, err
	}
	hello, err := codec.DecodeHello(response)
	if err == nil && hello.Cluster != local.Cluster {
		err = fault.New(fault.Invalid, part, "%s belongs to cluster %q", hello.VM, hello.Cluster)
	}
	return st, hello, err
}

// run sends and receives messages until the session or ctx ends.
func (s *session) run(ctx context.Context, q *queue, encode func(machine.Message) []byte, deliver func(frame []byte)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(ctx, func() { s.mux.Close() })
	defer stop()
	urgent, bulk := s.streams[0], s.streams[1]
	// A panic ends the session, not the process.
	run := func(f func() error) { cancel(supervise.Catch(part, f)) }
	go run(func() error { return writeUrgent(ctx, urgent, q, encode) })
	go run(func() error { return writeBulk(ctx, bulk, q.bulk) })
	for _, st := range s.streams {
		go run(func() error { return readLoop(st, deliver) })
	}
	select {
	case <-ctx.Done():
	case <-s.mux.CloseChan():
	}
	return context.Cause(ctx)
}

// writeUrgent encodes and writes queued messages. It moves large frames to the bulk
// queue.
func writeUrgent(ctx context.Context, st *stream, q *queue, encode func(machine.Message) []byte) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case msg := <-q.urgent:
			frame := encode(msg)
			switch {
			case frame == nil:
			case len(frame) > maxUrgentFrameBytes:
				q.pushBulk(frame)
			default:
				if err := st.write(frame); err != nil {
					return err
				}
			}
		}
	}
}

func writeBulk(ctx context.Context, st *stream, from <-chan []byte) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case frame := <-from:
			if err := st.write(frame); err != nil {
				return err
			}
		}
	}
}

func (st *stream) write(frame []byte) error {
	if err := st.below.setWriteDeadline(st.Conn, time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return writeFrame(st, frame)
}

func readLoop(st *stream, deliver func([]byte)) error {
	for {
		frame, err := readFrame(st.r, maxFrameBytes)
		if err != nil {
			return err
		}
		deliver(frame)
	}
}
