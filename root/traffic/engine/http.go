package engine

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

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

// HTTPClient is a Client on top of a Transport.
type HTTPClient struct {
	transport *Transport
	stats     counters
}

type counters struct {
	mismatched, duplicate atomic.Uint64
}

// NewHTTPClient returns an HTTPClient without connections.
func NewHTTPClient() *HTTPClient { return &HTTPClient{transport: NewTransport()} }

// Close closes idle connections.
func (h *HTTPClient) Close() { h.transport.CloseIdle() }

// Stats counts responses and events that were discarded.
type Stats struct {
	// Mismatched counts responses and events that carried another request's id, and
	// connections that were closed because bytes followed a complete response.
	Mismatched uint64 `json:"crossed_answers"`
	// Duplicate counts events that had already been received.
	Duplicate uint64 `json:"late_events"`
}

// Stats returns the counters.
func (h *HTTPClient) Stats() Stats {
	return Stats{
		Mismatched: h.stats.mismatched.Load() + h.transport.Stats().Unsolicited,
		Duplicate:  h.stats.duplicate.Load(),
	}
}

// Do sends a call. A response to another request is never returned: see
// Transport.readHead.
func (h *HTTPClient) Do(ctx context.Context, s fleet.Server, c Call) (Response, error) {
	address, req, err := newRequest(s, c)
	if err != nil {
		return nil, &SendError{NotSent: true, Err: err}
	}
	ctx, cancel := context.WithCancel(ctx)
	resp, err := h.transport.Do(ctx, address, 0, req)
	if err != nil {
		cancel()
		return nil, err
	}
	return newHTTPResponse(h, c, resp, cancel), nil
}

// ParseAddress returns the host:port of a server and its base URL, whose path has no slash at
// its end.
func ParseAddress(s fleet.Server) (address string, base *url.URL, err error) {
	base, err = url.Parse(strings.TrimSuffix(s.Address, "/"))
	if err != nil {
		return "", nil, err
	}
	if base.Port() == "" {
		return net.JoinHostPort(base.Hostname(), "80"), base, nil
	}
	return base.Host, base, nil
}

// newRequest returns the address of the server and the request for a call.
func newRequest(s fleet.Server, c Call) (address string, req RawRequest, err error) {
	address, base, err := ParseAddress(s)
	if err != nil {
		return "", RawRequest{}, err
	}
	header := http.Header{}
	for _, f := range c.Headers {
		header.Add(f.Name, f.Value)
	}
	header.Set(RequestIDHeader, c.RequestID)
	if c.ResumeAfter > 0 {
		header.Set(lastEventIDHeader, c.RequestID+"/"+strconv.Itoa(c.ResumeAfter))
	}
	return address, RawRequest{
		Method: c.Method, RequestTarget: base.Path + c.RequestTarget, Host: base.Host, Header: header, Body: c.Body,
		ID: c.RequestID, ResponseID: func(h http.Header) string { return h.Get(RequestIDHeader) },
		NewConnection: c.AtMostOnce,
	}, nil
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
		r.events = &eventReader{h.transport.NewResponseReader(resp)}
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
func (r *httpResponse) Body() ([]byte, error) { return r.client.transport.ReadBody(r.resp.Body) }

// Next returns the next event in order. Events of another request and duplicate
// events are discarded and counted. A gap in the numbers is an error, and so is an event
// that differs from the one received with the same number.
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
		case n <= r.received && r.call.Sent != nil && !r.call.Sent.Contains(uint64(n), ev.data):
			return Event{}, fault.New(fault.StreamCut, part, "event %d differs from the one received", n)
		case n <= r.received:
			r.client.stats.duplicate.Add(1)
		case n > r.received+1:
			return Event{}, fault.New(fault.StreamCut, part, "event %d follows event %d", n, r.received)
		default:
			r.received = n
			r.resumable = true
			if r.call.Sent != nil {
				r.call.Sent.Add(uint64(n), ev.data)
			}
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
	if r.events != nil {
		r.events.events.Close()
	}
	// Before cancel, which closes the connection of a complete response too.
	r.resp.Body.Close()
	r.cancel()
}
