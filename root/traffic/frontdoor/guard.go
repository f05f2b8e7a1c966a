package frontdoor

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/budget"
)

// Guard bounds the connections of a server, and the memory of the heads that they send. It
// closes connections between requests only.
type Guard struct {
	// Connections has a claim of 1 for each connection.
	Connections *budget.Budget
	// Heads has a claim for the head of each connection's request, until the response ends.
	Heads *budget.Budget
	// MaxHeadLines is the maximum number of lines of a head. MaxHeadBytes is that of its
	// bytes, which net/http enforces; it only counts here.
	MaxHeadLines, MaxHeadBytes int
	// OnClosed is called once for each connection that is closed. It must not block.
	OnClosed func(reason CloseReason)
}

// CloseReason says why a connection was closed.
type CloseReason string

// The reasons.
const (
	// ConnectionRefused is a new connection where all others carry requests.
	ConnectionRefused CloseReason = "connection_refused"
	// ConnectionEvicted and HeadEvicted are connections that have been without a request, or
	// in the head of one, for longest when others needed a connection or memory.
	ConnectionEvicted CloseReason = "connection_evicted"
	HeadEvicted       CloseReason = "head_evicted"
	// HeadNoMemory is a head that found no memory, HeadLines one with too many lines.
	HeadNoMemory CloseReason = "head_no_memory"
	HeadLines    CloseReason = "head_lines"
	// HeadBytes is a head of too many bytes, HeadTimeout one that took too long.
	HeadBytes   CloseReason = "head_bytes"
	HeadTimeout CloseReason = "head_timeout"
)

// Estimated memory of a parsed head, for net/http, the copies that are forwarded and the
// garbage of growing maps. In net/http alone, lines of six bytes with names of their own take
// 94 bytes each and allocate 151. An element of a list, such as a prompt segment, may be
// decoded too.
const (
	headByteCost    = 3
	headLineCost    = 256
	headElementCost = 96
)

// readBufferBytes is the size of the buffer in which net/http may hold the start of the next
// head while a request runs.
const readBufferBytes = 4 << 10

// guardedListener accepts the connections that a Guard permits.
type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		c := &guardedConn{Conn: raw, guard: l.guard}
		c.slot = l.guard.Connections.Open(now, func() { c.closeFor(ConnectionEvicted) })
		c.head = l.guard.Heads.Open(now, func() { c.closeFor(HeadEvicted) })
		if c.slot.Resize(1, now) {
			c.inHead = true
			return c, nil
		}
		c.closeFor(ConnectionRefused)
	}
}

// guardedConn is a connection that accounts for the heads that are read from it. Its phase
// changes by the states that net/http reports.
type guardedConn struct {
	net.Conn
	guard      *Guard
	slot, head *budget.Claim
	counted    sync.Once

	mu sync.Mutex
	// inHead is set while no request runs.
	inHead bool
	// evicted is set if the connection was being closed as its request began.
	evicted bool
	// lines, headBytes and cost are those of the head that is being read.
	lines, headBytes int
	cost             int64
	// recent and before are the lines in the last reads and in those before, which together
	// cover readBufferBytes or more.
	recent, before, recentBytes int
}

// NetConn returns the connection below.
func (c *guardedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		c.countTimeout(err)
		return n, err
	}
	if reason := c.account(p[:n]); reason != "" {
		c.closeFor(reason)
		return 0, io.EOF
	}
	return n, err
}

// countTimeout counts the timeout of a head that has begun.
func (c *guardedConn) countTimeout(err error) {
	c.mu.Lock()
	begun := c.inHead && c.headBytes > 0
	c.mu.Unlock()
	if begun && errors.Is(err, os.ErrDeadlineExceeded) {
		c.count(HeadTimeout)
	}
}

// account counts what was read and reserves memory for it. It returns why the connection
// must be closed, or an empty reason.
func (c *guardedConn) account(data []byte) CloseReason {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead {
		c.remember(len(data), bytes.Count(data[max(0, len(data)-readBufferBytes):], newline))
		return ""
	}
	lines := bytes.Count(data, newline)
	c.remember(len(data), lines)
	c.lines += lines
	c.headBytes += len(data)
	if c.headBytes >= c.guard.MaxHeadBytes {
		c.count(HeadBytes)
	}
	if c.lines > c.guard.MaxHeadLines {
		return HeadLines
	}
	c.cost += headByteCost*int64(len(data)) + headLineCost*int64(lines) + headElementCost*int64(bytes.Count(data, comma))
	if c.head.Resize(c.cost, time.Now()) {
		return ""
	}
	if c.head.Evicted() {
		return HeadEvicted
	}
	return HeadNoMemory
}

var newline, comma = []byte{'\n'}, []byte{','}

// remember counts the lines of the last reads.
func (c *guardedConn) remember(size, lines int) {
	if c.recentBytes+size > readBufferBytes {
		c.before, c.recent, c.recentBytes = c.recent, 0, 0
	}
	c.recent += lines
	c.recentBytes += size
}

// observe follows the states of the connection.
func (c *guardedConn) observe(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.beginHead()
	case http.StateActive:
		c.beginRequest()
	case http.StateClosed, http.StateHijacked:
		c.slot.Release()
		c.head.Release()
	}
}

// beginHead marks the end of a request, after which the connection may be closed. What was
// read already may contain lines of the next head.
func (c *guardedConn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.inHead = true
	c.lines, c.headBytes = 0, 0
	c.cost = headLineCost * int64(c.recent+c.before)
	c.head.Expose(now)
	c.slot.Expose(now)
	if !c.head.Resize(c.cost, now) {
		// There is no more memory than for the head before, which may have had few lines.
		c.cost = 0
		c.head.Resize(0, now)
	}
}

// beginRequest marks the end of a head, after which the connection is not closed.
func (c *guardedConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = false
	// Both must be settled, whatever became of the first.
	slot, head := c.slot.Settle(), c.head.Settle()
	c.evicted = !slot || !head
}

func (c *guardedConn) wasEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// closeFor closes the connection unless it is closed already.
func (c *guardedConn) closeFor(reason CloseReason) {
	c.count(reason)
	c.Close()
}

// count reports the first reason why the connection is closed.
func (c *guardedConn) count(reason CloseReason) {
	c.counted.Do(func() { c.guard.OnClosed(reason) })
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.slot.Release()
	c.head.Release()
	return c.Conn.Close()
}

// CloseWrite closes the sending side. net/http does this before it closes a connection on
// which the client is still sending.
func (c *guardedConn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// rawConn returns the connection of the system below a guarded one.
func rawConn(c net.Conn) net.Conn {
	if guarded, ok := c.(*guardedConn); ok {
		return guarded.Conn
	}
	return c
}
