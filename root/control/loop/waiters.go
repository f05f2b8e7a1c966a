package loop

import "sync"

// waiters hands answers from the control thread to the goroutines that wait.
type waiters[T any] struct {
	mu sync.Mutex
	by map[uint64]chan T
}

func newWaiters[T any]() *waiters[T] { return &waiters[T]{by: map[uint64]chan T{}} }

// add returns the channel on which the answer comes; it never blocks the sender.
func (w *waiters[T]) add(id uint64) <-chan T {
	ch := make(chan T, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.by[id] = ch
	return ch
}

func (w *waiters[T]) remove(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.by, id)
}

func (w *waiters[T]) answer(id uint64, v T) {
	w.mu.Lock()
	ch := w.by[id]
	delete(w.by, id)
	w.mu.Unlock()
	if ch != nil {
		ch <- v
	}
}
