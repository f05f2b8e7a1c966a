package forward

import (
	"bytes"

	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// recorder keeps a copy of the answer. A stream passes through as it comes; a
// whole body is held back until it is recorded.
type recorder struct {
	sink   Sink
	head   engine.Head
	answer ledger.Response
	stream bytes.Buffer
	// limit bounds the copy of a stream in bytes.
	limit int
	// lost is the first error of the sink; the answer is still recorded.
	lost error
}

// Head notes status and content type.
func (rec *recorder) Head(h engine.Head) error {
	rec.head = h
	rec.answer.Status = h.Status
	for _, f := range h.Headers {
		if f.Name == "Content-Type" {
			rec.answer.ContentType = f.Value
		}
	}
	if h.Stream {
		rec.lost = rec.sink.Head(h)
	}
	return nil
}

// Body keeps the whole body.
func (rec *recorder) Body(b []byte) error {
	rec.answer.Body = b
	return nil
}

// Event keeps and passes on one event. The last one is held back.
func (rec *recorder) Event(ev engine.Event) error {
	rec.keep(ev)
	if rec.lost == nil && !ev.Done {
		rec.lost = rec.sink.Event(ev)
	}
	return nil
}

// keep adds an event to the copy. A copy that the ledger would not take is dropped.
func (rec *recorder) keep(ev engine.Event) {
	if rec.answer.Omitted {
		return
	}
	engine.AppendEvent(&rec.stream, ev)
	if rec.stream.Len() > rec.limit {
		rec.answer.Omitted = true
		rec.stream = bytes.Buffer{}
		return
	}
	if ev.Done {
		rec.answer.Body = rec.stream.Bytes()
	}
}

// flush hands on what was held back.
func (rec *recorder) flush() error {
	if rec.lost != nil {
		return gone(rec.lost)
	}
	if rec.head.Stream {
		if err := rec.sink.Event(engine.Event{Data: engine.DoneData(), Done: true}); err != nil {
			return gone(err)
		}
		return nil
	}
	return sendWhole(rec.sink, rec.head, rec.answer.Body)
}
