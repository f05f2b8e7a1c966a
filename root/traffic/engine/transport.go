package engine

import (
	"bufio"
	"context"
	"errors"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wagtaildyke/wagtaildyke/sockets"
)

// Limits on connections to backend servers.
const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 1 * time.Second
	// ackTimeout is how long sent bytes may stay unacknowledged before the
	// connection fails (TCP_USER_TIMEOUT).
	ackTimeout = 1500 * time.Millisecond
	// defaultIdleTimeout applies to servers that send no Keep-Alive timeout. They may
	// close idle connections after less than a second.
	defaultIdleTimeout = 300 * time.Millisecond
	// idleTimeoutMargin is subtracted from a server's Keep-Alive timeout, so that a
	// request arrives before the server closes the connection.
	idleTimeoutMargin = 300 * time.Millisecond
	// maxInlineBody is the largest body that is written before the response is
	// read: it fits the socket buffers, so the write doesn't block.
	maxInlineBody = 8 << 10
	// maxRequestsPerConn bounds the requests with ids that one connection carries, and so
	// the ids that are kept for it.
	maxRequestsPerConn = 1024
	// readBufferSize is the size of the read buffers of connections and of
	// VerbatimReader.
	readBufferSize = 4 << 10
)

// RawRequest is an HTTP/1.1 request. RequestTarget and Body are sent unchanged. The
// header fields are sorted by name, and Host and Content-Length are added to them.
type RawRequest struct {
	Method string
	// RequestTarget is the path and query.
	RequestTarget string
	Host          string
	Header        http.Header
	Body          []byte
	// ID identifies the request, and ResponseID returns the id of the request that a
	// response with the given header answers, or an empty string if it names none. With
	// a nil ResponseID, ID is not used and any response is accepted. See readHead.
	ID         string
	ResponseID func(http.Header) string
	// NewConnection rules out idle connections, which the server may close just as the
	// request arrives.
	NewConnection bool
}

// Transport is a pool of HTTP/1.1 connections to backend servers. Unlike
// http.Transport it sends each request at most once, and its errors tell whether
// any byte was sent.
type Transport struct {
	dialer *net.Dialer

	mu sync.Mutex
	// pools is keyed by address.
	pools map[string]*connPool
	stats transportCounters
	// idSeed is the seed of the hashes of ids.
	idSeed maphash.Seed
	// bodies counts the memory of the response bodies and events that are being read, and
	// heads that of large heads until the end of their exchanges.
	bodies, heads readMemory
}

// connPool holds the connections to one address.
type connPool struct {
	// idle is ordered by the time of return, latest last.
	idle []*conn
	// open counts all connections, idle ones and those being dialed included.
	open int
}

type transportCounters struct {
	opened, reused, unsolicited atomic.Uint64
}

// TransportStats counts connections.
type TransportStats struct {
	Opened uint64 `json:"opened"`
	Reused uint64 `json:"reused"`
	// Unsolicited counts discarded mismatched responses, and connections that were
	// closed because bytes had followed a complete response by the time its body was
	// closed. Bytes that arrive on an idle connection are not counted.
	Unsolicited uint64 `json:"unasked_bytes"`
	// BodyBytes is the memory reserved for response bodies and events that are being read.
	BodyBytes int64 `json:"body_bytes"`
}

// NewTransport returns a transport without connections.
func NewTransport() *Transport {
	t := &Transport{dialer: sockets.Dialer(dialTimeout, ackTimeout), pools: map[string]*connPool{}, idSeed: maphash.MakeSeed()}
	t.bodies.limit, t.heads.limit = maxBodiesBytes, maxHeadsBytes
	return t
}

// Stats returns the counters.
func (t *Transport) Stats() TransportStats {
	return TransportStats{t.stats.opened.Load(), t.stats.reused.Load(), t.stats.unsolicited.Load(), t.bodies.used.Load()}
}

// conn is a pooled connection. It carries one request at a time: requests are not
// pipelined.
type conn struct {
	net.Conn
	transport *Transport
	address   string
	r         *bufio.Reader
	idleUntil time.Time
	closed    atomic.Bool
	// limit bounds the size of heads that r reads.
	limit *limitedReader
	// sent holds the hashes of the ids of the requests that were sent on the connection,
	// the current one included; it is empty if they have no ids.
	sent []uint64
	// unidentified is set by a response without an id. A later one could then not be
	// told from a late copy of it.
	unidentified bool
}

// mayCarry reports whether an idle connection may carry a request. Late copies of earlier
// responses are recognized by their ids, so the id of the request must be new to the
// connection, and requests without ids have connections of their own.
func (c *conn) mayCarry(req RawRequest) bool {
	if req.ResponseID == nil {
		return len(c.sent) == 0
	}
	return len(c.sent) > 0 && !c.carried(req.ID)
}

// carried reports whether a request with the id was sent on the connection.
func (c *conn) carried(id string) bool { return slices.Contains(c.sent, c.hashID(id)) }

func (c *conn) hashID(id string) uint64 { return maphash.String(c.transport.idSeed, id) }

// Close closes the connection and removes it from the count of open ones. Further
// calls do nothing.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	c.transport.mu.Lock()
	c.transport.pools[c.address].open--
	c.transport.mu.Unlock()
	return c.Conn.Close()
}

var errTooManyConns = errors.New("connection limit to the backend server reached")

// Do sends a request and returns its response once the head has arrived. The
// response body must be closed exactly once. maxConns limits the connections to
// address; 0 means no limit. If ctx ends before the body is closed, the connection
// is closed. The error is a *SendError.
func (t *Transport) Do(ctx context.Context, address string, maxConns int, req RawRequest) (*http.Response, error) {
	c, err := t.getConn(ctx, address, maxConns, req)
	if err != nil {
		return nil, &SendError{NotSent: true, Err: err}
	}
	if req.ResponseID != nil {
		c.sent = append(c.sent, c.hashID(req.ID))
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	written := c.send(req)
	if written.err != nil && written.n == 0 {
		stop()
		c.Close()
		return nil, &SendError{NotSent: true, Err: written.err}
	}
	resp, err := c.readHead(req)
	if err != nil {
		stop()
		c.limit.release()
		c.Close()
		return nil, &SendError{Err: errors.Join(context.Cause(ctx), err)}
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, conn: c, stop: stop, bodyWritten: written.bodyWritten, resp: resp}
	return resp, nil
}

// getConn returns a usable idle connection that may carry the request, or a new one. An
// idle connection is usable until its idle timeout, as long as the server has neither sent
// bytes nor closed it.
func (t *Transport) getConn(ctx context.Context, address string, maxConns int, req RawRequest) (*conn, error) {
	for !req.NewConnection {
		c := t.popIdle(address, req)
		if c == nil {
			break
		}
		if time.Now().Before(c.idleUntil) && c.r.Buffered() == 0 && sockets.Reusable(c.Conn) {
			t.stats.reused.Add(1)
			return c, nil
		}
		c.Close()
	}
	return t.dial(ctx, address, maxConns)
}

// popIdle removes and returns the most recently used idle connection that may carry the
// request, or nil.
func (t *Transport) popIdle(address string, req RawRequest) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(address)
	for i, c := range slices.Backward(p.idle) {
		if c.mayCarry(req) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// pool returns the pool of an address. t.mu must be held.
func (t *Transport) pool(address string) *connPool {
	p := t.pools[address]
	if p == nil {
		p = &connPool{}
		t.pools[address] = p
	}
	return p
}

// dial opens a connection within the limit maxConns. At the limit it closes the least
// recently used idle connection first; idle ones that are left may not carry the request.
func (t *Transport) dial(ctx context.Context, address string, maxConns int) (*conn, error) {
	t.mu.Lock()
	p := t.pool(address)
	var replaced *conn
	if maxConns > 0 && p.open >= maxConns {
		if len(p.idle) == 0 {
			t.mu.Unlock()
			return nil, errTooManyConns
		}
		replaced = p.idle[0]
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	p.open++
	t.mu.Unlock()
	if replaced != nil {
		replaced.Close()
	}
	raw, err := t.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		t.mu.Lock()
		p.open--
		t.mu.Unlock()
		return nil, err
	}
	t.stats.opened.Add(1)
	limit := &limitedReader{r: raw, heads: &t.heads}
	return &conn{Conn: raw, transport: t, address: address, limit: limit, r: bufio.NewReaderSize(limit, readBufferSize)}, nil
}

// putIdle returns a connection to its pool, to be reused within timeout, and closes
// the expired connections of that pool. Nothing else closes expired connections
// until they are tried for a request: those of an address without further requests
// stay open until CloseIdle.
func (t *Transport) putIdle(c *conn, timeout time.Duration) {
	c.idleUntil = time.Now().Add(timeout)
	t.mu.Lock()
	p := t.pool(c.address)
	expired := p.removeExpired(time.Now())
	p.idle = append(p.idle, c)
	t.mu.Unlock()
	for _, old := range expired {
		old.Close()
	}
}

// removeExpired removes and returns the connections past their idle timeout.
func (p *connPool) removeExpired(now time.Time) []*conn {
	var expired []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.idleUntil) {
			kept = append(kept, c)
		} else {
			expired = append(expired, c)
		}
	}
	p.idle = kept
	return expired
}

// CloseIdle closes all idle connections, expired ones included.
func (t *Transport) CloseIdle() {
	t.mu.Lock()
	var idle []*conn
	for _, p := range t.pools {
		idle = append(idle, p.idle...)
		p.idle = nil
	}
	t.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}
