package engine

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// Header fields exchanged with backend servers.
const (
	RequestIDHeader   = "X-Request-Id"
	lastEventIDHeader = "Last-Event-ID"
	// RanHeader is a response field. With the value "no" the backend server states
	// that it did not execute the request.
	RanHeader = "Wagtaildyke-Ran"
)

// Limits on connections to and responses from backend servers. Of these, Transport
// applies only dialTimeout, and ReadBody maxResponseBytes.
const (
	dialTimeout           = 1 * time.Second
	idleConnTimeout       = 30 * time.Second
	maxIdleConnsPerServer = 64
	maxResponseBytes      = 32 << 20
	maxHeaderBytes        = 64 << 10
)

// HTTPClient is a Client on top of net/http.
type HTTPClient struct {
	shared *http.Client
	// noReuse opens a new connection for each call: net/http retries a request
	// only on a reused connection.
	noReuse *http.Client
	stats   counters
}

type counters struct {
	mismatched, duplicate atomic.Uint64
}

// NewHTTPClient returns an HTTPClient without connections.
func NewHTTPClient() *HTTPClient {
	return &HTTPClient{shared: newHTTPClient(false), noReuse: newHTTPClient(true)}
}

func newHTTPClient(disableKeepAlives bool) *http.Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerServer,
		IdleConnTimeout:     idleConnTimeout,
		DisableKeepAlives:   disableKeepAlives,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

// Close closes idle connections.
func (h *HTTPClient) Close() {
	h.shared.CloseIdleConnections()
	h.noReuse.CloseIdleConnections()
}

// Stats counts responses and events that were discarded.
type Stats struct {
	// Mismatched counts responses and events that carried another request's id.
	Mismatched uint64 `json:"crossed_answers"`
	// Duplicate counts events that had already been received.
	Duplicate uint64 `json:"late_events"`
}

// Stats returns the counters.
func (h *HTTPClient) Stats() Stats {
	return Stats{Mismatched: h.stats.mismatched.Load(), Duplicate: h.stats.duplicate.Load()}
}

// Do sends a call. A response that carries another request's id is discarded and
// reported as an unknown outcome, since the call itself was sent.
func (h *HTTPClient) Do(ctx context.Context, s fleet.Server, c Call) (Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), s, c)
	if err != nil {
		cancel()
		return nil, &SendError{NotSent: true, Err: err}
	}
	resp, err := h.client(c).Do(req)
	if err != nil {
		cancel()
		return nil, &SendError{NotSent: !connected.Load(), Err: err}
	}
	r := newHTTPResponse(h, c, resp, cancel)
	if got := resp.Header.Get(RequestIDHeader); got != "" && got != c.RequestID {
		h.stats.mismatched.Add(1)
		r.Close()
		return nil, &SendError{Err: fault.New(fault.OutcomeUnknown, part, "response from %s carries another request id", s.ID)}
	}
	return r, nil
}

func (h *HTTPClient) client(c Call) *http.Client {
	if c.AtMostOnce {
		return h.noReuse
	}
	return h.shared
}

func newRequest(ctx context.Context, s fleet.Server, c Call) (*http.Request, error) {
	url := strings.TrimSuffix(s.Address, "/") + c.RequestTarget
	req, err := http.NewRequestWithContext(ctx, c.Method, url, bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	for _, f := range c.Headers {
		req.Header.Add(f.Name, f.Value)
	}
	req.Header.Set(RequestIDHeader, c.RequestID)
	if c.ResumeAfter > 0 {
		req.Header.Set(lastEventIDHeader, c.RequestID+"/"+strconv.Itoa(c.ResumeAfter))
	}
	return req, nil
}

// httpResponse implements Response.
type httpResponse struct {
	client *HTTPClient
	call   Call
	resp   *http.Response
	cancel context.CancelFunc
	events *eventReader
	// received is the number of the last event returned.
	received int
	// resumable is set when a numbered event is returned, and cleared when an event
	// without a number follows one.
	resumable bool
}

func newHTTPResponse(h *HTTPClient, c Call, resp *http.Response, cancel context.CancelFunc) *httpResponse {
	r := &httpResponse{client: h, call: c, resp: resp, cancel: cancel, received: c.ResumeAfter}
	if r.Head().Stream {
		r.events = newEventReader(resp.Body)
	}
	return r
}

// Head returns the status and header fields.
func (r *httpResponse) Head() Head {
	h := Head{Status: r.resp.StatusCode}
	for name, values := range r.resp.Header {
		for _, v := range values {
			h.Headers = append(h.Headers, Header{Name: name, Value: v})
		}
	}
	h.NotRun = r.resp.StatusCode >= http.StatusBadRequest && r.resp.Header.Get(RanHeader) == "no"
	contentType := r.resp.Header.Get("Content-Type")
	h.Stream = r.call.Stream && r.resp.StatusCode == http.StatusOK && strings.HasPrefix(contentType, "text/event-stream")
	return h
}

// Body reads the whole body. A truncated or oversized body is an error.
func (r *httpResponse) Body() ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.BackendFailed, part, "read response body").WithRan(fault.RanYes)
	}
	if len(data) > maxResponseBytes {
		return nil, fault.New(fault.BackendFailed, part, "response body exceeds %d bytes", maxResponseBytes).WithRan(fault.RanYes)
	}
	return data, nil
}

// Next returns the next event in order. Events of another request and duplicate
// events are discarded and counted; a gap in the numbers is an error.
func (r *httpResponse) Next() (Event, error) {
	for {
		ev, err := r.events.next()
		if err != nil {
			return Event{}, fault.Wrap(err, fault.StreamCut, part, "read event stream")
		}
		if ev.id == "" {
			return r.nextUnnumbered(ev)
		}
		id, n, ok := splitEventID(ev.id)
		switch {
		case !ok || id != r.call.RequestID:
			r.client.stats.mismatched.Add(1)
		case n <= r.received:
			r.client.stats.duplicate.Add(1)
		case n > r.received+1:
			return Event{}, fault.New(fault.StreamCut, part, "event %d follows event %d", n, r.received)
		default:
			r.received = n
			r.resumable = true
			return Event{Data: ev.data, Done: isDone(ev.data)}, nil
		}
	}
}

// nextUnnumbered accepts an event without a number. After a numbered event, or in
// a resumed stream, its position is unknown and the event is an error.
func (r *httpResponse) nextUnnumbered(ev parsedEvent) (Event, error) {
	if r.resumable || r.call.ResumeAfter > 0 {
		r.resumable = false
		return Event{}, fault.New(fault.StreamCut, part, "event without a number follows event %d", r.received)
	}
	r.received++
	return Event{Data: ev.data, Done: isDone(ev.data)}, nil
}

// Resumable reports whether the backend server numbers its events. Without events
// so far, a stream that was requested from its start can be requested again, but a
// resumed one is not resumable.
func (r *httpResponse) Resumable() bool { return r.resumable || r.received == 0 }

// Close cancels an unfinished request and releases the connection.
func (r *httpResponse) Close() {
	r.cancel()
	r.resp.Body.Close()
}
