package forward

import (
	"bytes"

	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// recorder is a Sink that copies the response for the ledger. It passes on the head and
// the events of a stream immediately, except for the event that ends it. That event, or
// the whole of a response without events, is written by flush, which is called after
// the outcome has been submitted to the ledger.
type recorder struct {
	sink       Sink
	head       engine.Head
	response   ledger.Response
	streamCopy bytes.Buffer
	// limit is the maximum size of the copy of a stream in bytes.
	limit int
	// sinkErr is the first error of the sink; the response is still recorded.
	sinkErr error
}

// WriteHead records the status and content type, and passes on the head of a stream.
// Any other head is written by flush.
func (rec *recorder) WriteHead(h engine.Head) error {
	rec.head = h
	rec.response.Status = h.Status
	for _, f := range h.Headers {
		if f.Name == "Content-Type" {
			rec.response.ContentType = f.Value
		}
	}
	if h.Stream {
		rec.sinkErr = rec.sink.WriteHead(h)
	}
	return nil
}

// WriteBody records the body, which flush writes.
func (rec *recorder) WriteBody(b []byte) error {
	rec.response.Body = b
	return nil
}

// WriteEvent records one event and passes it on, except for the event that ends the
// stream.
func (rec *recorder) WriteEvent(ev engine.Event) error {
	rec.record(ev)
	if rec.sinkErr == nil && !ev.Done {
		rec.sinkErr = rec.sink.WriteEvent(ev)
	}
	return nil
}

// record appends an event to the copy. It drops a copy that is larger than the ledger
// accepts.
func (rec *recorder) record(ev engine.Event) {
	if rec.response.Omitted {
		return
	}
	engine.AppendEvent(&rec.streamCopy, ev)
	if rec.streamCopy.Len() > rec.limit {
		rec.response.Omitted = true
		rec.streamCopy = bytes.Buffer{}
		return
	}
	if ev.Done {
		rec.response.Body = rec.streamCopy.Bytes()
	}
}

// flush writes the event that ends a stream, or the whole of a response without events.
func (rec *recorder) flush() error {
	if rec.sinkErr != nil {
		return sinkError(rec.sinkErr)
	}
	if rec.head.Stream {
		if err := rec.sink.WriteEvent(engine.Event{Data: engine.DoneData(), Done: true}); err != nil {
			return sinkError(err)
		}
		return nil
	}
	return writeResponse(rec.sink, rec.head, rec.response.Body)
}
