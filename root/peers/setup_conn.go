package peers

import (
	"net"
	"sync"
)

// maxSetUpBytes is how much is read from an incoming connection before its session is set
// up, which takes two hellos. yamux would buffer far more.
const maxSetUpBytes = 4 * maxHelloBytes

// setUpConn is an incoming connection of which only maxSetUpBytes are read until its session
// is set up: what its sender is, is not known before.
type setUpConn struct {
	net.Conn
	done, closed      chan struct{}
	doneOnce, endOnce sync.Once
	// left is the number of bytes that may still be read. Only Read uses it, which yamux
	// calls from one goroutine.
	left int
}

func newSetUpConn(c net.Conn) *setUpConn {
	return &setUpConn{Conn: c, done: make(chan struct{}), closed: make(chan struct{}), left: maxSetUpBytes}
}

// setUp lifts the limit.
func (c *setUpConn) setUp() { c.doneOnce.Do(func() { close(c.done) }) }

// Read implements net.Conn.
func (c *setUpConn) Read(p []byte) (int, error) {
	select {
	case <-c.done:
		return c.Conn.Read(p)
	default:
	}
	if c.left == 0 {
		select {
		case <-c.done:
			return c.Conn.Read(p)
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// Close implements net.Conn.
func (c *setUpConn) Close() error {
	c.endOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
