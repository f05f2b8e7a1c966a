package storage

import (
	"context"
	"errors"
	"sync"

	"github.com/thejerf/suture/v4"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
)

// Writer is a service that performs the writes of the control thread. If several writes
// are queued, they are combined into one (group commit).
type Writer struct {
	store     *Store
	onDurable func(seq uint64)
	onFailure func(error)

	mu    sync.Mutex
	queue []consensus.WriteBatch
	wake  chan struct{}
}

// NewWriter returns a Writer for an open store. The Writer calls onDurable from its
// goroutine with the sequence number of each write that became durable, in order, and
// onFailure with a write error, after which it writes nothing more.
func NewWriter(store *Store, onDurable func(seq uint64), onFailure func(error)) *Writer {
	return &Writer{store: store, onDurable: onDurable, onFailure: onFailure, wake: make(chan struct{}, 1)}
}

// Submit queues a write and returns immediately. The queue has no limit, but does
// not grow: a replica submits a write only once the one before it is durable.
func (w *Writer) Submit(write consensus.WriteBatch) {
	w.mu.Lock()
	w.queue = append(w.queue, write)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Serve writes until ctx ends. Writes queued by then are still performed, unless the
// disk is full. A write error terminates the supervisor tree. The write is never retried,
// because after an I/O error the state on disk is unknown.
func (w *Writer) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, w.store.StopRetrying)
	defer stop()
	for {
		if err := w.writeQueued(); err != nil {
			w.onFailure(err)
			return errors.Join(err, suture.ErrTerminateSupervisorTree)
		}
		select {
		case <-ctx.Done():
			return w.flush(ctx)
		case <-w.wake:
		}
	}
}

// flush performs the writes that are still queued when ctx ends.
func (w *Writer) flush(ctx context.Context) error {
	if err := w.writeQueued(); err != nil {
		w.onFailure(err)
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
	for _, write := range batch {
		w.onDurable(write.Seq)
	}
	return nil
}

// String names the service in the supervisor tree.
func (w *Writer) String() string { return part }
