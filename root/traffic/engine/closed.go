package engine

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// ClosedByPeer reports whether a request failed because the server closed or reset the
// connection, as one that ends does. Timeouts and connections closed by this process don't
// count.
func ClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Unreachable reports whether a request failed because the server's host acknowledged
// nothing for ackTimeout, or was reported as unreachable.
func Unreachable(err error) bool {
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH)
}

// checkTimeout bounds a dial by Check. Linux repeats a connection request that was lost
// after 1 s, which a busy server's full backlog may cause.
const checkTimeout = 1500 * time.Millisecond

// Check opens a connection to a server outside the pool and closes it. A server that has
// no capacity left still accepts connections or lets them wait in its backlog.
func (t *Transport) Check(ctx context.Context, address string) error {
	dialer := *t.dialer
	dialer.Timeout = checkTimeout
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// Gone reports whether an error of Check shows that the server has ended or can't be
// reached. Errors of this process, such as a lack of descriptors, don't count.
func Gone(err error) bool {
	var timeout net.Error
	return errors.Is(err, syscall.ECONNREFUSED) || Unreachable(err) || errors.As(err, &timeout) && timeout.Timeout()
}
