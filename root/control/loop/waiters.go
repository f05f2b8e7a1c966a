package loop

import "sync"

// waiters passes results from the control thread to the goroutines waiting for them.
type waiters[T any] struct {
	mu       sync.Mutex
	channels map[uint64]chan T
}

func newWaiters[T any]() *waiters[T] { return &waiters[T]{channels: map[uint64]chan T{}} }

// add returns the channel that receives the result for id. It is buffered, so that
// the control thread never blocks.
func (w *waiters[T]) add(id uint64) <-chan T {
	ch := make(chan T, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.channels[id] = ch
	return ch
}

func (w *waiters[T]) remove(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.channels, id)
}

func (w *waiters[T]) deliver(id uint64, v T) {
	w.mu.Lock()
	ch := w.channels[id]
	delete(w.channels, id)
	w.mu.Unlock()
	if ch != nil {
		ch <- v
	}
}
