package codec

import (
	"bytes"
	"sync"
)

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
	c.remember(value, data)
	return data, nil
}

// from returns the value of an encoded form, decoding it where it is not
// remembered: what a process proposes comes back to it in the log.
func (c *encodings[T]) from(data []byte, decode func() (*T, error)) (*T, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.entries {
		if e.value != nil && bytes.Equal(e.data, data) {
			return e.value, nil
		}
	}
	value, err := decode()
	if err != nil {
		return nil, err
	}
	c.remember(value, data)
	return value, nil
}

func (c *encodings[T]) remember(value *T, data []byte) {
	c.entries[c.next] = encoding[T]{value, data}
	c.next = (c.next + 1) % len(c.entries)
}
