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

// Bounds of connections to backend servers.
const (
	// peerSilence is how long a backend server may acknowledge nothing.
	peerSilence = 1500 * time.Millisecond
	// unstatedIdle is how long a connection may idle whose server states no
	// timeout: those that state none close in less than a second.
	unstatedIdle = 300 * time.Millisecond
	// idleMargin is kept from a stated idle timeout for the way of a request.
	idleMargin = 300 * time.Millisecond
	// inlineBody is the largest body that is written before the answer is read:
	// it fits the socket buffers.
	inlineBody = 8 << 10
	// readBuffer is the size of a connection's read buffer.
	readBuffer = 4 << 10
)

// Outgoing is one HTTP request as it goes out, byte for byte.
type Outgoing struct {
	Method string
	// Target is the path and query as they came.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Answers reports whether an answer with this head belongs to the request;
	// nil takes any. Another answer is read and dropped.
	Answers func(http.Header) bool
}

// Transport keeps connections to backend servers. It sends each request at
// most once and says whether a byte of it went out.
type Transport struct {
	dialer *net.Dialer

	mu      sync.Mutex
	servers map[string]*connections
	stats   transportCounters
}

// connections are those to one address.
type connections struct {
	idle []*conn
	open int
}

type transportCounters struct {
	opened, reused, unasked atomic.Uint64
}

// TransportStats counts connections.
type TransportStats struct {
	Opened uint64 `json:"opened"`
	Reused uint64 `json:"reused"`
	// Unasked counts connections closed because of bytes that belong to no request.
	Unasked uint64 `json:"unasked_bytes"`
}

// NewTransport returns a transport without connections.
func NewTransport() *Transport {
	return &Transport{dialer: sockets.Dialer(dialTimeout, peerSilence), servers: map[string]*connections{}}
}

// Stats returns the counters.
func (t *Transport) Stats() TransportStats {
	return TransportStats{t.stats.opened.Load(), t.stats.reused.Load(), t.stats.unasked.Load()}
}

// conn is one connection; it carries one request at a time.
type conn struct {
	net.Conn
	owner     *Transport
	address   string
	r         *bufio.Reader
	idleUntil time.Time
	closed    atomic.Bool
}

// Close closes the connection once and gives its place back.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	c.owner.mu.Lock()
	c.owner.servers[c.address].open--
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// errConnections says that the bound on connections is reached.
var errConnections = errors.New("all connections to the backend server are in use")

// Do sends a request and returns the head of its answer, whose body the caller
// closes. most bounds the connections to the address; 0 is no bound. The
// connection ends with ctx. An error is a *SendError.
func (t *Transport) Do(ctx context.Context, address string, most int, out Outgoing) (*http.Response, error) {
	c, err := t.take(ctx, address, most)
	if err != nil {
		return nil, &SendError{NotSent: true, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	written := c.send(out)
	if written.err != nil && written.n == 0 {
		stop()
		c.Close()
		return nil, &SendError{NotSent: true, Err: written.err}
	}
	resp, err := c.readHead(out)
	if err != nil {
		stop()
		c.Close()
		return nil, &SendError{Err: errors.Join(context.Cause(ctx), err)}
	}
	resp.Body = &body{ReadCloser: resp.Body, conn: c, stop: stop, reusable: written.done, resp: resp}
	return resp, nil
}

// take returns an idle connection that is still quiet, or a new one.
func (t *Transport) take(ctx context.Context, address string, most int) (*conn, error) {
	for {
		c := t.takeIdle(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.idleUntil) && c.r.Buffered() == 0 && sockets.Quiet(c.Conn) {
			t.stats.reused.Add(1)
			return c, nil
		}
		c.Close()
	}
	return t.dial(ctx, address, most)
}

// takeIdle returns the connection that idled for the shortest time.
func (t *Transport) takeIdle(address string) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(address)
	if len(s.idle) == 0 {
		return nil
	}
	c := s.idle[len(s.idle)-1]
	s.idle = s.idle[:len(s.idle)-1]
	return c
}

func (t *Transport) server(address string) *connections {
	s := t.servers[address]
	if s == nil {
		s = &connections{}
		t.servers[address] = s
	}
	return s
}

func (t *Transport) dial(ctx context.Context, address string, most int) (*conn, error) {
	t.mu.Lock()
	s := t.server(address)
	if most > 0 && s.open >= most {
		t.mu.Unlock()
		return nil, errConnections
	}
	s.open++
	t.mu.Unlock()
	raw, err := t.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		t.mu.Lock()
		s.open--
		t.mu.Unlock()
		return nil, err
	}
	t.stats.opened.Add(1)
	return &conn{Conn: raw, owner: t, address: address, r: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// release keeps a connection for the next request.
func (t *Transport) release(c *conn, idle time.Duration) {
	c.idleUntil = time.Now().Add(idle)
	t.mu.Lock()
	s := t.server(c.address)
	expired := s.expire(time.Now())
	s.idle = append(s.idle, c)
	t.mu.Unlock()
	for _, old := range expired {
		old.Close()
	}
}

// expire takes out the connections that have idled too long.
func (s *connections) expire(now time.Time) []*conn {
	var out []*conn
	kept := s.idle[:0]
	for _, c := range s.idle {
		if now.Before(c.idleUntil) {
			kept = append(kept, c)
		} else {
			out = append(out, c)
		}
	}
	s.idle = kept
	return out
}

// CloseIdle closes the connections that carry no request.
func (t *Transport) CloseIdle() {
	t.mu.Lock()
	var idle []*conn
	for _, s := range t.servers {
		idle = append(idle, s.idle...)
		s.idle = nil
	}
	t.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// sent says how much of a request went out.
type sent struct {
	n   int
	err error
	// done is closed when the whole request was written; nil when it was.
	done <-chan struct{}
}

// send writes a request. A large body is written beside the reading of the
// answer, since a server may answer first.
func (c *conn) send(out Outgoing) sent {
	head := out.encodeHead()
	if len(out.Body) <= inlineBody {
		n, err := c.Write(append(head, out.Body...))
		return sent{n: n, err: err}
	}
	n, err := c.Write(head)
	if err != nil {
		return sent{n: n, err: err}
	}
	done := make(chan struct{})
	go func() {
		if _, err := c.Write(out.Body); err != nil {
			// The answer, or its absence, tells the rest: part of the body went out.
			return
		}
		close(done)
	}()
	return sent{n: n, done: done}
}

func (o *Outgoing) encodeHead() []byte {
	var b bytes.Buffer
	b.WriteString(o.Method + " " + o.Target + " HTTP/1.1\r\nHost: " + o.Host + "\r\n")
	// Writes to a buffer don't fail.
	_ = o.Header.Write(&b)
	if len(o.Body) > 0 || o.Method != http.MethodGet && o.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(o.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the head of the answer, past interim ones and late answers to
// other requests.
func (c *conn) readHead(out Outgoing) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: out.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if out.Answers == nil || out.Answers(resp.Header) {
			return resp, nil
		}
		c.owner.stats.unasked.Add(1)
		if _, err := ReadWhole(resp.Body); err != nil || resp.Close {
			return nil, fault.New(fault.OutcomeUnknown, part, "an answer to another request came")
		}
	}
}

// body gives the connection back once it was read to its end.
type body struct {
	io.ReadCloser
	conn     *conn
	stop     func() bool
	resp     *http.Response
	reusable <-chan struct{}
	whole    bool
}

// Read notes the end of a whole body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}

// Close ends the exchange. A connection with anything left on it is closed.
func (b *body) Close() error {
	owned := b.stop()
	if !owned || !b.whole || b.resp.Close || !b.sentAll() {
		return b.conn.Close()
	}
	idle := idleTimeout(b.resp.Header)
	if b.conn.r.Buffered() > 0 {
		b.conn.owner.stats.unasked.Add(1)
		return b.conn.Close()
	}
	if idle <= 0 {
		return b.conn.Close()
	}
	b.conn.owner.release(b.conn, idle)
	return nil
}

func (b *body) sentAll() bool {
	if b.reusable == nil {
		return true
	}
	select {
	case <-b.reusable:
		return true
	default:
		return false
	}
}

// idleTimeout returns how long the connection may idle after this answer.
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
		return time.Duration(seconds)*time.Second - idleMargin
	}
	return unstatedIdle
}

// ReadWhole reads a body of at most maxAnswerBytes. A body cut short is an error.
func ReadWhole(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxAnswerBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.BackendFailed, part, "the answer was cut").WithRan(fault.RanYes)
	}
	if len(data) > maxAnswerBytes {
		return nil, fault.New(fault.BackendFailed, part, "the answer is larger than %d bytes", maxAnswerBytes).WithRan(fault.RanYes)
	}
	return data, nil
}
