package codec

import "sync"

// encodings remembers the encoded forms of the values encoded last. Values are
// told apart by their pointers and must not change. One value sent to many
// receivers is encoded once, also when several threads encode it at the same time.
type encodings[T any] struct {
	mu      sync.Mutex
	entries []encoding[T]
	next    int
}

type encoding[T any] struct {
	value *T
	data  []byte
}

// newEncodings returns a memory of the given number of values.
func newEncodings[T any](size int) *encodings[T] {
	return &encodings[T]{entries: make([]encoding[T], size)}
}

// of returns the encoded form of value. It must not be changed.
func (c *encodings[T]) of(value *T, encode func() ([]byte, error)) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.entries {
		if e.value == value {
			return e.data, nil
		}
	}
	data, err := encode()
	if err != nil {
		return nil, err
	}
	c.entries[c.next] = encoding[T]{value, data}
	c.next = (c.next + 1) % len(c.entries)
	return data, nil
}
