package engine

import (
	"errors"
	"io"
	"syscall"
)

// ClosedByPeer reports whether a response that has begun failed because the server closed
// the connection, as one that ends does. Timeouts and connections closed by this process
// don't count.
func ClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
