package frontdoor

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// droppedHeaders are not forwarded: the hop-by-hop fields, which apply to a single
// connection, and Content-Length, which WriteBody sets.
var droppedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Proxy-Connection": true,
}

// responseSink is the forward.Sink that writes a response to a caller.
type responseSink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	requestID  string
	// writeTimeout applies to each write.
	writeTimeout time.Duration
	// noRetry is set for a request that isn't idempotent.
	noRetry bool
	// started is set once the status line may have been sent.
	started bool
	stream  bool
	// status is kept until WriteBody sends it.
	status int
	// firstEventAt is the time of the first event.
	firstEventAt time.Time
	buf          bytes.Buffer
}

func newSink(w http.ResponseWriter, requestID string, writeTimeout time.Duration) *responseSink {
	return &responseSink{w: w, controller: http.NewResponseController(w), requestID: requestID, writeTimeout: writeTimeout}
}

// setRetryHeader tells client libraries not to retry a failed request that isn't
// idempotent.
func (s *responseSink) setRetryHeader(status int) {
	if s.noRetry && status >= http.StatusBadRequest {
		s.w.Header().Set(retryHeader, "false")
	}
}

// WriteHead sets the header fields. It sends them at once for a stream; otherwise
// WriteBody sends them.
func (s *responseSink) WriteHead(h engine.Head) error {
	header := s.w.Header()
	for _, f := range h.Headers {
		if !droppedHeaders[f.Name] {
			header.Add(f.Name, f.Value)
		}
	}
	header.Set(requestIDHeader, s.requestID)
	s.setRetryHeader(h.Status)
	s.stream = h.Stream
	if !h.Stream {
		s.status = h.Status
		return nil
	}
	header.Set("Cache-Control", "no-store")
	s.started = true
	s.setWriteDeadline()
	s.w.WriteHeader(h.Status)
	return s.controller.Flush()
}

// WriteBody sends the status line, header fields and complete body.
func (s *responseSink) WriteBody(b []byte) error {
	s.started = true
	s.setWriteDeadline()
	s.w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	s.w.WriteHeader(s.status)
	_, err := s.w.Write(b)
	return err
}

// WriteEvent sends one event and flushes it.
func (s *responseSink) WriteEvent(ev engine.Event) error {
	if s.firstEventAt.IsZero() {
		s.firstEventAt = time.Now()
	}
	s.buf.Reset()
	engine.AppendEvent(&s.buf, ev)
	s.setWriteDeadline()
	if _, err := s.w.Write(s.buf.Bytes()); err != nil {
		return err
	}
	return s.controller.Flush()
}

// writeErrorEvent sends an error event as the last event of a stream. It sends no
// [DONE] event, so the stream can't look complete. A response that isn't a stream is
// left as it is.
func (s *responseSink) writeErrorEvent(e *fault.Error) {
	if !s.stream {
		return
	}
	s.buf.Reset()
	s.buf.WriteString("event: error\n")
	engine.AppendEvent(&s.buf, engine.Event{Data: encodeError(s.requestID, e)})
	s.setWriteDeadline()
	_, _ = s.w.Write(s.buf.Bytes())
	_ = s.controller.Flush()
}

// setWriteDeadline limits the time of the next write, so that a slow reader can't
// block it.
func (s *responseSink) setWriteDeadline() {
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.writeTimeout))
}

// timing returns the durations of a response that ends now.
func (s *responseSink) timing(bodyReadAt time.Time) Timing {
	t := Timing{Total: time.Since(bodyReadAt)}
	if !s.firstEventAt.IsZero() {
		t.FirstToken = s.firstEventAt.Sub(bodyReadAt)
	}
	return t
}
