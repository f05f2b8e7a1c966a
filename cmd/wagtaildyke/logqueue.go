package main

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// queuedLines bounds the lines that wait to be written: some seconds of a busy
	// entry, a few hundred KB.
	queuedLines = 4096
	// routineLines is the number of waiting lines from which routine ones are
	// dropped, so that refusals and failures still find room.
	routineLines = queuedLines / 2
	// flushLimit bounds the wait for the last lines at the end of the process.
	flushLimit = 500 * time.Millisecond
)

// outcomeKey is the field that tells how a step of a request went, and
// routineOutcome its value for one that went well.
const (
	outcomeKey     = "outcome"
	routineOutcome = "answered"
)

// logQueue writes log lines from a goroutine of its own, so that nobody waits for
// a slow reader of the log. Lines that find no room are counted and dropped.
type logQueue struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu              sync.Mutex
	lines           [][]byte
	closed          bool
	routine, others int
}

func newLogQueue(out io.Writer) *logQueue {
	q := &logQueue{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.serve()
	return q
}

// add queues one line. It never blocks.
func (q *logQueue) add(line []byte, routine bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case q.closed:
	case routine && len(q.lines) >= routineLines:
		q.routine++
	case len(q.lines) >= queuedLines:
		q.others++
	default:
		q.lines = append(q.lines, line)
	}
	q.signal()
}

func (q *logQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// serve writes what waits in one piece until the queue is closed and empty.
func (q *logQueue) serve() {
	defer close(q.done)
	for range q.wake {
		lines, dropped, closed := q.take()
		var batch []byte
		for _, line := range lines {
			batch = append(batch, line...)
		}
		if len(batch) > 0 {
			// There is nowhere to report a log that can't be written.
			_, _ = q.out.Write(batch)
		}
		dropped.report(q.out)
		if closed {
			return
		}
	}
}

// drops counts lines that found no room.
type drops struct{ routine, others int }

func (d drops) report(out io.Writer) {
	if d.routine+d.others == 0 {
		return
	}
	log := slog.New(slog.NewJSONHandler(out, nil))
	log.Warn("dropped log lines", partKey, rootPart, "routine", d.routine, "others", d.others)
}

func (q *logQueue) take() ([][]byte, drops, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	lines, dropped := q.lines, drops{q.routine, q.others}
	q.lines, q.routine, q.others = nil, 0, 0
	return lines, dropped, q.closed
}

// Close writes what waits, within a bound.
func (q *logQueue) Close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.signal()
	select {
	case <-q.done:
	case <-time.After(flushLimit):
	}
}

// queued is a handler whose lines go through a queue.
type queued struct {
	slog.Handler
	line *lineBuffer
}

// lineBuffer takes one line from a handler and hands it to the queue.
type lineBuffer struct {
	mu    sync.Mutex
	queue *logQueue
	data  []byte
}

// Write implements io.Writer for the handler below.
func (b *lineBuffer) Write(p []byte) (int, error) {
	b.data = append(b.data[:0:0], p...)
	return len(p), nil
}

// Handle encodes the record and queues its line.
func (h queued) Handle(ctx context.Context, r slog.Record) error {
	routine := false
	r.Attrs(func(a slog.Attr) bool {
		routine = a.Key == outcomeKey && a.Value.String() == routineOutcome
		return !routine
	})
	h.line.mu.Lock()
	defer h.line.mu.Unlock()
	if err := h.Handler.Handle(ctx, r); err != nil {
		return err
	}
	h.line.queue.add(h.line.data, routine)
	return nil
}

// WithAttrs returns a handler that adds fields.
func (h queued) WithAttrs(attrs []slog.Attr) slog.Handler {
	return queued{h.Handler.WithAttrs(attrs), h.line}
}

// WithGroup returns a handler that groups fields.
func (h queued) WithGroup(name string) slog.Handler {
	return queued{h.Handler.WithGroup(name), h.line}
}
