package engine

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

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

// Limits on what a server may send before the response to a request.
const (
	// maxHeadBytes bounds the head of one response.
	maxHeadBytes = 64 << 10
	// maxHeadsBytes bounds the memory of the large heads of all responses. smallHeadBytes of
	// each head don't count, and each further byte counts headMemoryFactor times, since a
	// head of many short fields takes that much memory once it is parsed.
	maxHeadsBytes    = 32 << 20
	smallHeadBytes   = 8 << 10
	headMemoryFactor = 16
	// maxInterimResponses bounds the interim (1xx) responses.
	maxInterimResponses = 16
	// maxLateResponses bounds the late responses to earlier requests.
	maxLateResponses = 8
)

// Errors of responses that can't be read. Unlike those of net/http, they don't quote the
// server's bytes, which belong to no caller.
var (
	errHeadTooLarge     = errors.New("response head is too large")
	errHeadsTooLarge    = errors.New("the response heads being read take too much memory")
	errHeadMalformed    = errors.New("response head is malformed")
	errTrailerMalformed = errors.New("trailer of the response is malformed")
)

// limitedReader reads from r. While bounded is set, it reads at most left more bytes.
type limitedReader struct {
	r       io.Reader
	bounded bool
	left    int
	// heads counts the memory of large heads, of which reserved is that of this exchange.
	heads    *readMemory
	reserved int64
	// head holds the bytes read since beginHead, which may extend beyond the head.
	head []byte
	// err is the first error of Read.
	err error
}

// beginHead starts to read a head, of which buffered has been read already.
func (l *limitedReader) beginHead(buffered []byte) {
	l.bounded, l.left = true, maxHeadBytes
	l.head = append([]byte(nil), buffered...)
}

// endHeads ends the bound on what is read, and frees the bytes of the last head.
func (l *limitedReader) endHeads() { l.bounded, l.head = false, nil }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.read(p)
	if l.err == nil {
		l.err = err
	}
	return n, err
}

func (l *limitedReader) read(p []byte) (int, error) {
	if !l.bounded {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.head = append(l.head, p[:n]...)
	if l.left < maxHeadBytes-smallHeadBytes {
		memory := int64(n) * headMemoryFactor
		if !l.heads.reserve(memory) {
			return 0, errHeadsTooLarge
		}
		l.reserved += memory
	}
	return n, err
}

// release frees what the heads of an exchange have reserved.
func (l *limitedReader) release() {
	l.heads.used.Add(-l.reserved)
	l.reserved = 0
}

// headError returns the error for a head that can't be read: what ended it, or else what is
// malformed in the bytes read of it.
func (l *limitedReader) headError(head []byte) error {
	switch {
	case l.err == io.EOF:
		return io.ErrUnexpectedEOF
	case l.err != nil:
		return l.err
	case scanFields(head).malformedName:
		return errFieldName
	default:
		return errHeadMalformed
	}
}

// readHead reads the head of the response to the request. It skips interim (1xx)
// responses, and late copies of earlier responses on the connection with their bodies.
//
// A response with the id of the request is accepted: a connection carries each id once,
// see mayCarry. A response without an id is accepted on a new connection only, which then
// isn't reused: on a reused one it may be a late copy of an earlier response. A response
// to a request that was never sent on the connection means that the server mixes up its
// responses, and that the right one need not follow.
func (c *conn) readHead(req RawRequest) (*http.Response, error) {
	late := 0
	for {
		resp, err := c.readOneHead(req.Method)
		if err != nil {
			return nil, err
		}
		if req.ResponseID == nil {
			return resp, nil
		}
		switch id := req.ResponseID(resp.Header); {
		case id == req.ID:
			return resp, nil
		case id == "" && len(c.sent) == 1:
			c.unidentified = true
			return resp, nil
		case id == "" || !c.carried(id) || late == maxLateResponses:
			c.transport.stats.unsolicited.Add(1)
			return nil, fault.New(fault.OutcomeUnknown, part, "the server responded to another request")
		}
		c.transport.stats.unsolicited.Add(1)
		late++
		if _, err := c.transport.ReadBody(resp.Body); err != nil || resp.Close {
			return nil, fault.New(fault.OutcomeUnknown, part, "connection is unusable after a response to another request")
		}
	}
}

// readOneHead reads the head of the next response that is not an interim one.
func (c *conn) readOneHead(method string) (*http.Response, error) {
	defer c.limit.endHeads()
	for range maxInterimResponses {
		// The peeked bytes are buffered, so there is no error.
		buffered, _ := c.r.Peek(c.r.Buffered())
		c.limit.beginHead(buffered)
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		head := c.limit.head[:len(c.limit.head)-c.r.Buffered()]
		if err != nil {
			return nil, c.limit.headError(head)
		}
		if err := checkHead(resp, head); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, fault.New(fault.OutcomeUnknown, part, "more than %d interim responses", maxInterimResponses)
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

// Read implements io.Reader and records the end of a body that is whole.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = b.checkWhole()
	}
	var malformed textproto.ProtocolError
	if errors.As(err, &malformed) {
		err = errTrailerMalformed
	}
	b.complete = b.complete || err == io.EOF
	return n, err
}

// checkWhole returns io.EOF if a body that has ended is whole.
func (b *responseBody) checkWhole() error {
	if !validNames(b.resp.Trailer) {
		return errTrailerMalformed
	}
	if Unframed(b.resp) {
		return b.checkOrderlyEnd()
	}
	return io.EOF
}

// Close ends the exchange. The connection is reused only if the response was read
// completely and had an id, requestWritten reports true, the server keeps the connection
// open, no further bytes have arrived on it, and it has carried fewer than
// maxRequestsPerConn requests; otherwise it is closed. Close must be called only once: a
// second call closes the connection, which may carry another request by then.
func (b *responseBody) Close() error {
	active := b.stop()
	b.conn.limit.release()
	reusable := !b.conn.unidentified && len(b.conn.sent) < maxRequestsPerConn
	if !active || !b.complete || b.resp.Close || !reusable || !b.requestWritten() {
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
