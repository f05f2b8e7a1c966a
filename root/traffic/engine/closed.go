package engine

import (
	"errors"
	"io"
	"syscall"
)

// ClosedByPeer reports whether an error of a call or of its response means that the
// server closed the connection before the response was complete, as a server that ends
// does. Timeouts, connections closed by this process and ones that could not be opened
// don't count.
func ClosedByPeer(err error) bool {
	var send *SendError
	if errors.As(err, &send) && send.NotSent {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
