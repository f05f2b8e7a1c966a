package storage

import (
	"context"
	"errors"
	"sync"

	"github.com/thejerf/suture/v4"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
)

// Writer is the service that writes for the control thread. Everything queued
// while a write is under way shares the next one.
type Writer struct {
	store  *Store
	done   func(seq uint64)
	failed func(error)

	mu    sync.Mutex
	queue []consensus.WriteBatch
	wake  chan struct{}
}

// NewWriter returns a writer for an open store. done is called from the
// writer's goroutine with each sequence number that became durable, in order.
// failed is called with the error that ended all writing.
func NewWriter(store *Store, done func(seq uint64), failed func(error)) *Writer {
	return &Writer{store: store, done: done, failed: failed, wake: make(chan struct{}, 1)}
}

// Submit queues a write and returns at once. The queue is bounded by the
// caller: a replica has one write outstanding.
func (w *Writer) Submit(p consensus.WriteBatch) {
	w.mu.Lock()
	w.queue = append(w.queue, p)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Serve writes until ctx ends; what was queued by then is still written, unless the
// disk is full. A write error ends the supervisor tree: it is never retried, because the state
// on disk is unknown.
func (w *Writer) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, w.store.GiveUp)
	defer stop()
	for {
		if err := w.writeQueued(); err != nil {
			w.failed(err)
			return errors.Join(err, suture.ErrTerminateSupervisorTree)
		}
		select {
		case <-ctx.Done():
			return w.finish(ctx)
		case <-w.wake:
		}
	}
}

func (w *Writer) finish(ctx context.Context) error {
	if err := w.writeQueued(); err != nil {
		w.failed(err)
		return errors.Join(err, suture.ErrTerminateSupervisorTree)
	}
	return ctx.Err()
}

func (w *Writer) writeQueued() error {
	w.mu.Lock()
	batch := w.queue
	w.queue = nil
	w.mu.Unlock()
	if len(batch) == 0 {
		return nil
	}
	if err := w.store.Write(batch); err != nil {
		return fault.From(err)
	}
	for _, p := range batch {
		w.done(p.Seq)
	}
	return nil
}

// String names the service in the supervisor tree.
func (w *Writer) String() string { return part }
