package peers

import (
	"net"
	"sync"
	"time"
)

// longAgo is a deadline that has expired on every clock.
var longAgo = time.Unix(1, 0)

// streamConn is the connection below a yamux session. It ends all reads and writes of
// the session's streams before it closes.
//
// yamux closes its connection after it has signalled the end of the session and before
// it has marked the streams as closed. In between, a Read or Write that waits on a
// stream polls in a loop and may keep the only thread from the goroutine that closes.
// An expired deadline ends that loop, for closes by yamux itself too.
type streamConn struct {
	net.Conn

	mu      sync.Mutex
	closed  bool
	streams []net.Conn
}

// attach adds a stream of the session.
func (c *streamConn) attach(stream net.Conn) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.streams = append(c.streams, stream)
	return nil
}

// setWriteDeadline sets the write deadline of a stream unless the connection is closed.
func (c *streamConn) setWriteDeadline(stream net.Conn, at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return stream.SetWriteDeadline(at)
}

// Close ends the reads and writes of the streams and closes the connection.
func (c *streamConn) Close() error {
	c.expireStreams()
	return c.Conn.Close()
}

func (c *streamConn) expireStreams() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, stream := range c.streams {
		// A yamux stream's deadline can always be set.
		_ = stream.SetDeadline(longAgo)
	}
}
