package engine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/sockets"
)

// Limits on connections to backend servers.
const (
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
	// MatchesResponse reports whether a response with this header belongs to the
	// request; nil accepts any. Mismatched responses are read and discarded.
	MatchesResponse func(http.Header) bool
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
}

// NewTransport returns a transport without connections.
func NewTransport() *Transport {
	return &Transport{dialer: sockets.Dialer(dialTimeout, ackTimeout), pools: map[string]*connPool{}}
}

// Stats returns the counters.
func (t *Transport) Stats() TransportStats {
	return TransportStats{t.stats.opened.Load(), t.stats.reused.Load(), t.stats.unsolicited.Load()}
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
}

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
	c, err := t.getConn(ctx, address, maxConns)
	if err != nil {
		return nil, &SendError{NotSent: true, Err: err}
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
		c.Close()
		return nil, &SendError{Err: errors.Join(context.Cause(ctx), err)}
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, conn: c, stop: stop, bodyWritten: written.bodyWritten, resp: resp}
	return resp, nil
}

// getConn returns a usable idle connection or a new one. An idle connection is
// usable until its idle timeout, as long as the server has neither sent bytes nor
// closed it.
func (t *Transport) getConn(ctx context.Context, address string, maxConns int) (*conn, error) {
	for {
		c := t.popIdle(address)
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

// popIdle removes and returns the most recently used idle connection, or nil.
func (t *Transport) popIdle(address string) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(address)
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
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

// dial opens a connection within the limit maxConns.
func (t *Transport) dial(ctx context.Context, address string, maxConns int) (*conn, error) {
	t.mu.Lock()
	p := t.pool(address)
	if maxConns > 0 && p.open >= maxConns {
		t.mu.Unlock()
		return nil, errTooManyConns
	}
	p.open++
	t.mu.Unlock()
	raw, err := t.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		t.mu.Lock()
		p.open--
		t.mu.Unlock()
		return nil, err
	}
	t.stats.opened.Add(1)
	return &conn{Conn: raw, transport: t, address: address, r: bufio.NewReaderSize(raw, readBufferSize)}, nil
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

// writeResult is the progress of writing a request.
type writeResult struct {
	// n is the number of bytes written before send returned.
	n   int
	err error
	// bodyWritten is closed once the body is written completely; it is nil if send
	// wrote the whole request or failed.
	bodyWritten <-chan struct{}
}

// send writes a request. A large body is written by its own goroutine while the
// response is read, since a server may respond before it has read the body.
func (c *conn) send(req RawRequest) writeResult {
	head := req.encodeHead()
	if len(req.Body) <= maxInlineBody {
		n, err := c.Write(append(head, req.Body...))
		return writeResult{n: n, err: err}
	}
	n, err := c.Write(head)
	if err != nil {
		return writeResult{n: n, err: err}
	}
	bodyWritten := make(chan struct{})
	go func() {
		if _, err := c.Write(req.Body); err != nil {
			// The reader of the response reports the failure. bodyWritten stays
			// open, so the connection is not reused.
			return
		}
		close(bodyWritten)
	}()
	return writeResult{n: n, bodyWritten: bodyWritten}
}

// encodeHead encodes the request line and the header fields. An empty body has a
// Content-Length only if the method is neither GET nor HEAD.
func (r *RawRequest) encodeHead() []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.RequestTarget + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writes to a bytes.Buffer don't fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the head of the response, whose size is not limited. It skips
// interim (1xx) responses, and mismatched responses together with their bodies.
func (c *conn) readHead(req RawRequest) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: req.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if req.MatchesResponse == nil || req.MatchesResponse(resp.Header) {
			return resp, nil
		}
		c.transport.stats.unsolicited.Add(1)
		if _, err := ReadBody(resp.Body); err != nil || resp.Close {
			return nil, fault.New(fault.OutcomeUnknown, part, "connection is unusable after a response to another request")
		}
	}
}

// responseBody returns its connection to the pool when the exchange is complete.
type responseBody struct {
	io.ReadCloser
	conn *conn
	// stop ends the watch on the context; it reports false if the context ended
	// first.
	stop func() bool
	resp *http.Response
	// bodyWritten is that of the request's writeResult.
	bodyWritten <-chan struct{}
	// complete is set once the response was read to its end.
	complete bool
}

// Read implements io.Reader and records the end of the body.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.complete = true
	}
	return n, err
}

// Close ends the exchange. The connection is reused only if the response was read
// completely, requestWritten reports true, the server keeps the connection open, and
// no further bytes have arrived on it; otherwise it is closed. Close must be called
// only once: a second call closes the connection, which may carry another request by
// then.
func (b *responseBody) Close() error {
	active := b.stop()
	if !active || !b.complete || b.resp.Close || !b.requestWritten() {
		return b.conn.Close()
	}
	timeout := idleTimeout(b.resp.Header)
	if b.conn.r.Buffered() > 0 {
		b.conn.transport.stats.unsolicited.Add(1)
		return b.conn.Close()
	}
	if timeout <= 0 {
		return b.conn.Close()
	}
	b.conn.transport.putIdle(b.conn, timeout)
	return nil
}

// requestWritten reports whether the request has been written by now. A body that is
// written by its own goroutine counts once it is complete, but a request that send
// wrote only in part before it failed counts as written as well.
func (b *responseBody) requestWritten() bool {
	if b.bodyWritten == nil {
		return true
	}
	select {
	case <-b.bodyWritten:
		return true
	default:
		return false
	}
}

// idleTimeout returns how long a connection may stay idle after a response with
// this header, by its Keep-Alive field. 0 or less rules out reuse.
func idleTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil {
			return 0
		}
		return time.Duration(seconds)*time.Second - idleTimeoutMargin
	}
	return defaultIdleTimeout
}

// ReadBody reads a whole body. A truncated body, or one of more than
// maxResponseBytes, is an error.
func ReadBody(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.BackendFailed, part, "read response body").WithRan(fault.RanYes)
	}
	if len(data) > maxResponseBytes {
		return nil, fault.New(fault.BackendFailed, part, "response body exceeds %d bytes", maxResponseBytes).WithRan(fault.RanYes)
	}
	return data, nil
}
