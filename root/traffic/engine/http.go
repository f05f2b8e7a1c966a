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

// Header fields of the protocol towards backend servers.
const (
	RequestIDHeader   = "X-Request-Id"
	lastEventIDHeader = "Last-Event-ID"
	// RanHeader with the value "no" is a backend server's word that it ran nothing.
	RanHeader = "Wagtaildyke-Ran"
)

// Bounds of the protocol towards backend servers.
const (
	dialTimeout     = 1 * time.Second
	idleConnTimeout = 30 * time.Second
	idlePerServer   = 64
	maxAnswerBytes  = 32 << 20
	maxHeadBytes    = 64 << 10
)

// HTTP is the Client over HTTP.
type HTTP struct {
	shared *http.Client
	// once uses a new connection for each call: the transport never resends on
	// a connection that it has not used before.
	once  *http.Client
	stats counters
}

type counters struct {
	crossed, late atomic.Uint64
}

// NewHTTP returns a client.
func NewHTTP() *HTTP {
	return &HTTP{shared: newClient(false), once: newClient(true)}
}

func newClient(once bool) *http.Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerServer,
		IdleConnTimeout:     idleConnTimeout,
		DisableKeepAlives:   once,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

// Close ends idle connections.
func (h *HTTP) Close() {
	h.shared.CloseIdleConnections()
	h.once.CloseIdleConnections()
}

// Stats counts answers that were dropped.
type Stats struct {
	// Crossed answers belonged to another request; late events came twice.
	Crossed uint64 `json:"crossed_answers"`
	Late    uint64 `json:"late_events"`
}

// Stats returns the counters.
func (h *HTTP) Stats() Stats {
	return Stats{Crossed: h.stats.crossed.Load(), Late: h.stats.late.Load()}
}

// Do sends a call.
func (h *HTTP) Do(ctx context.Context, s fleet.Server, c Call) (Answer, error) {
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
	a := newAnswer(h, c, resp, cancel)
	if got := resp.Header.Get(RequestIDHeader); got != "" && got != c.RequestID {
		h.stats.crossed.Add(1)
		a.Close()
		return nil, &SendError{Err: fault.New(fault.OutcomeUnknown, part, "%s answered another request", s.ID)}
	}
	return a, nil
}

func (h *HTTP) client(c Call) *http.Client {
	if c.Once {
		return h.once
	}
	return h.shared
}

func newRequest(ctx context.Context, s fleet.Server, c Call) (*http.Request, error) {
	url := strings.TrimSuffix(s.Address, "/") + c.Path
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

// httpAnswer is an answer read from an HTTP response.
type httpAnswer struct {
	owner     *HTTP
	call      Call
	resp      *http.Response
	cancel    context.CancelFunc
	events    *eventReader
	received  int
	resumable bool
}

func newAnswer(h *HTTP, c Call, resp *http.Response, cancel context.CancelFunc) *httpAnswer {
	a := &httpAnswer{owner: h, call: c, resp: resp, cancel: cancel, received: c.ResumeAfter}
	if a.Head().Stream {
		a.events = newEventReader(resp.Body)
	}
	return a
}

// Head returns status, headers and whether events follow.
func (a *httpAnswer) Head() Head {
	h := Head{Status: a.resp.StatusCode}
	for name, values := range a.resp.Header {
		for _, v := range values {
			h.Headers = append(h.Headers, Header{Name: name, Value: v})
		}
	}
	h.NotRun = a.resp.StatusCode >= http.StatusBadRequest && a.resp.Header.Get(RanHeader) == "no"
	kind := a.resp.Header.Get("Content-Type")
	h.Stream = a.call.Stream && a.resp.StatusCode == http.StatusOK && strings.HasPrefix(kind, "text/event-stream")
	return h
}

// Body returns the whole body. A body cut short is an error.
func (a *httpAnswer) Body() ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(a.resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.BackendFailed, part, "the answer was cut").WithRan(fault.RanYes)
	}
	if len(data) > maxAnswerBytes {
		return nil, fault.New(fault.BackendFailed, part, "the answer is larger than %d bytes", maxAnswerBytes).WithRan(fault.RanYes)
	}
	return data, nil
}

// Next returns the next event in order. Events of another request and events
// that came before are dropped and counted; a gap is an error.
func (a *httpAnswer) Next() (Event, error) {
	for {
		raw, err := a.events.next()
		if err != nil {
			return Event{}, fault.Wrap(err, fault.StreamCut, part, "the stream was cut")
		}
		if raw.id == "" {
			return a.unnumbered(raw)
		}
		id, n, ok := splitEventID(raw.id)
		switch {
		case !ok || id != a.call.RequestID:
			a.owner.stats.crossed.Add(1)
		case n <= a.received:
			a.owner.stats.late.Add(1)
		case n > a.received+1:
			return Event{}, fault.New(fault.StreamCut, part, "event %d came after %d", n, a.received)
		default:
			a.received = n
			a.resumable = true
			return Event{Data: raw.data, Done: isDone(raw.data)}, nil
		}
	}
}

// unnumbered takes an event of a server that does not number them. Where
// numbers were asked for or seen, its place can't be known.
func (a *httpAnswer) unnumbered(raw rawEvent) (Event, error) {
	if a.resumable || a.call.ResumeAfter > 0 {
		a.resumable = false
		return Event{}, fault.New(fault.StreamCut, part, "an event without a number came after %d", a.received)
	}
	a.received++
	return Event{Data: raw.data, Done: isDone(raw.data)}, nil
}

// Resumable reports whether the backend server numbers its events.
func (a *httpAnswer) Resumable() bool { return a.resumable || a.received == 0 }

// Close cancels an unfinished call and frees the connection.
func (a *httpAnswer) Close() {
	a.cancel()
	a.resp.Body.Close()
}
