package peers

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// Bounds of a session.
const (
	helloTimeout  = 3 * time.Second
	writeTimeout  = 2 * time.Second
	keepAlive     = 1 * time.Second
	streamsPerWay = 2
	readBuffer    = 64 << 10
)

func muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = keepAlive
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = helloTimeout
	cfg.StreamCloseTimeout = helloTimeout
	cfg.AcceptBacklog = streamsPerWay
	cfg.LogOutput = io.Discard
	return cfg
}

// session is one connection to a peer: an urgent and a bulk stream.
type session struct {
	mux  *yamux.Session
	peer codec.Hello
	// opener is the VM that dialled.
	opener string
	opened time.Time
	lines  [streamsPerWay]*line
}

// line is one stream with its buffered reader, which outlives the hello.
type line struct {
	net.Conn
	r *bufio.Reader
}

func newLine(c net.Conn) *line {
	return &line{Conn: c, r: bufio.NewReaderSize(c, readBuffer)}
}

// open starts a session on an outgoing connection.
func open(conn net.Conn, own codec.Hello) (*session, error) {
	mux, err := yamux.Client(conn, muxConfig())
	if err != nil {
		return nil, err
	}
	s, err := handshake(mux, own, mux.Open)
	if err == nil {
		s.opener = own.VM
	}
	return s, err
}

// accept starts a session on an incoming connection.
func accept(conn net.Conn, own codec.Hello) (*session, error) {
	mux, err := yamux.Server(conn, muxConfig())
	if err != nil {
		return nil, err
	}
	s, err := handshake(mux, own, mux.Accept)
	if err == nil {
		s.opener = s.peer.VM
	}
	return s, err
}

func handshake(mux *yamux.Session, own codec.Hello, next func() (net.Conn, error)) (*session, error) {
	timer := time.AfterFunc(helloTimeout, func() { mux.Close() })
	defer timer.Stop()
	s := &session{mux: mux, opened: time.Now()}
	for i := range s.lines {
		l, hello, err := greet(own, next)
		if err != nil {
			mux.Close()
			return nil, err
		}
		s.lines[i] = l
		s.peer = hello
	}
	return s, nil
}

// crosses reports whether both sides of one pair of processes opened s and
// other at about the same time.
func (s *session) crosses(other *session) bool {
	return s.peer.Incarnation == other.peer.Incarnation && s.opener != other.opener &&
		other.opened.Sub(s.opened) < crossedDials
}

func greet(own codec.Hello, next func() (net.Conn, error)) (*line, codec.Hello, error) {
	conn, err := next()
	if err != nil {
		return nil, codec.Hello{}, err
	}
	frame, err := codec.EncodeHello(own)
	if err != nil {
		return nil, codec.Hello{}, err
	}
	if err := writeFrame(conn, frame); err != nil {
		return nil, codec.Hello{}, err
	}
	l := newLine(conn)
	answer, err := readFrame(l.r)
	if err != nil {
		return nil, codec.Hello{}, err
	}
	hello, err := codec.DecodeHello(answer)
	if err == nil && hello.Cluster != own.Cluster {
		err = fault.New(fault.Invalid, part, "%s belongs to cluster %q", hello.VM, hello.Cluster)
	}
	return l, hello, err
}

// run moves messages both ways until the session or ctx ends.
func (s *session) run(ctx context.Context, q *queue, encode func(machine.Message) []byte, deliver func(frame []byte)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(ctx, func() { s.mux.Close() })
	defer stop()
	urgent, bulk := s.lines[0], s.lines[1]
	go func() { cancel(writeUrgent(ctx, urgent, q, encode)) }()
	go func() { cancel(writeBulk(ctx, bulk, q.bulk)) }()
	for _, l := range s.lines {
		go func() { cancel(readLoop(l, deliver)) }()
	}
	select {
	case <-ctx.Done():
	case <-s.mux.CloseChan():
	}
	return context.Cause(ctx)
}

// writeUrgent encodes messages and writes them; large frames take the bulk stream.
func writeUrgent(ctx context.Context, l *line, q *queue, encode func(machine.Message) []byte) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case msg := <-q.urgent:
			frame := encode(msg)
			switch {
			case frame == nil:
			case len(frame) > urgentLimitBytes:
				q.pushBulk(frame)
			default:
				if err := l.write(frame); err != nil {
					return err
				}
			}
		}
	}
}

func writeBulk(ctx context.Context, l *line, from <-chan []byte) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case frame := <-from:
			if err := l.write(frame); err != nil {
				return err
			}
		}
	}
}

func (l *line) write(frame []byte) error {
	if err := l.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return writeFrame(l, frame)
}

func readLoop(l *line, deliver func([]byte)) error {
	for {
		frame, err := readFrame(l.r)
		if err != nil {
			return err
		}
		deliver(frame)
	}
}
