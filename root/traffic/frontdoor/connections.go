package frontdoor

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wagtaildyke/wagtaildyke/sockets"
)

// connections tracks the open connections of a server that carry no request.
type connections struct {
	mu sync.Mutex
	// quiet maps a connection without a request to the time since when it has none. A
	// new connection has none until its first request arrives.
	quiet map[net.Conn]time.Time
	open  int
}

func newConnections() *connections { return &connections{quiet: map[net.Conn]time.Time{}} }

// observe records a change of state. It is called by net/http.
func (c *connections) observe(conn net.Conn, state http.ConnState) {
	if guarded, ok := conn.(*guardedConn); ok {
		guarded.observe(state)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open++
		c.quiet[conn] = time.Now()
	case http.StateIdle:
		c.quiet[conn] = time.Now()
	case http.StateActive:
		delete(c.quiet, conn)
	case http.StateClosed, http.StateHijacked:
		c.open--
		delete(c.quiet, conn)
	}
}

// closeQuiet closes the connections that have had no request for the given time and have
// none waiting to be read, and returns the number of connections that are still open.
func (c *connections) closeQuiet(idleFor time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.quiet {
		if time.Since(since) >= idleFor && !sockets.HasData(rawConn(conn)) {
			// The server's read fails, and it closes the connection.
			_ = conn.SetReadDeadline(time.Unix(1, 0))
			delete(c.quiet, conn)
		}
	}
	return c.open
}
