package frontdoor

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// hopHeaders concern one connection only and are never passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Proxy-Connection": true,
}

// sink writes an answer to a caller.
type sink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      string
	timeout time.Duration
	// once is set for work that must not repeat.
	once    bool
	started bool
	stream  bool
	// status is written with the whole body.
	status int
	// firstAt is when the first event went out.
	firstAt time.Time
	buf     bytes.Buffer
}

func newSink(w http.ResponseWriter, id string, timeout time.Duration) *sink {
	return &sink{w: w, control: http.NewResponseController(w), id: id, timeout: timeout}
}

// forbidRetry tells client libraries not to send work again that failed.
func (s *sink) forbidRetry(status int) {
	if s.once && status >= http.StatusBadRequest {
		s.w.Header().Set(retryHeader, "false")
	}
}

// Head writes headers; the status of a whole body follows with it.
func (s *sink) Head(h engine.Head) error {
	head := s.w.Header()
	for _, f := range h.Headers {
		if !hopHeaders[f.Name] {
			head.Add(f.Name, f.Value)
		}
	}
	head.Set(requestIDHeader, s.id)
	s.forbidRetry(h.Status)
	s.stream = h.Stream
	if !h.Stream {
		s.status = h.Status
		return nil
	}
	head.Set("Cache-Control", "no-store")
	s.started = true
	s.deadline()
	s.w.WriteHeader(h.Status)
	return s.control.Flush()
}

// Body writes a whole body.
func (s *sink) Body(b []byte) error {
	s.started = true
	s.deadline()
	s.w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	s.w.WriteHeader(s.status)
	_, err := s.w.Write(b)
	return err
}

// Event writes one event at once.
func (s *sink) Event(ev engine.Event) error {
	if s.firstAt.IsZero() {
		s.firstAt = time.Now()
	}
	s.buf.Reset()
	engine.AppendEvent(&s.buf, ev)
	s.deadline()
	if _, err := s.w.Write(s.buf.Bytes()); err != nil {
		return err
	}
	return s.control.Flush()
}

// fail ends a stream that has begun with an explicit error event. The stream
// has no last event, so it can't look complete.
func (s *sink) fail(e *fault.Error) {
	if !s.stream {
		return
	}
	s.buf.Reset()
	s.buf.WriteString("event: error\n")
	engine.AppendEvent(&s.buf, engine.Event{Data: encodeRefusal(s.id, e)})
	s.deadline()
	_, _ = s.w.Write(s.buf.Bytes())
	_ = s.control.Flush()
}

// deadline bounds the next write to a caller that reads slowly.
func (s *sink) deadline() { _ = s.control.SetWriteDeadline(time.Now().Add(s.timeout)) }

// timing measures a whole answer.
func (s *sink) timing(arrived time.Time) Timing {
	t := Timing{Whole: time.Since(arrived)}
	if !s.firstAt.IsZero() {
		t.FirstToken = s.firstAt.Sub(arrived)
	}
	return t
}
