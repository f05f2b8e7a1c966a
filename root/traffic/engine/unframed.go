package engine

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/wagtaildyke/wagtaildyke/sockets"
)

// Limits on the wait for the acknowledgement of a request whose response has ended with its
// connection.
const (
	// resetTimeout is how long a server that no longer reads the request may take to reset
	// the connection. It is shorter than the 500 ms for which servers that end an early
	// response in order delay their reset.
	resetTimeout = 300 * time.Millisecond
	// minResetPoll and maxResetPoll are the pauses between looks at the connection.
	minResetPoll = 1 * time.Millisecond
	maxResetPoll = 32 * time.Millisecond
)

// errConnectionFailed is the error of an unframed body whose connection failed. It counts as
// closed by the server, see ClosedByPeer.
var errConnectionFailed = fmt.Errorf("the connection failed where a response without a length ended: %w", io.ErrUnexpectedEOF)

// Unframed reports whether a response has neither a length nor chunks. Its end can't be
// told from a connection that the server closed because it ended.
func Unframed(resp *http.Response) bool {
	withoutBody := resp.Request != nil && resp.Request.Method == http.MethodHead
	return !withoutBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// checkOrderlyEnd returns io.EOF if the connection of an unframed body ended in order. The end
// of the data doesn't show that: the system returns the error of a reset only once, to the
// write of the request if that comes first, and reads then end as after an orderly close. A
// server that closes before the whole request has arrived does end in order, and resets the
// connection when further bytes arrive; so the end is certain once they are acknowledged.
func (b *responseBody) checkOrderlyEnd() error {
	until := time.Now().Add(resetTimeout)
	for wait := minResetPoll; ; wait = min(2*wait, maxResetPoll) {
		written := b.requestWritten()
		state, err := sockets.CheckSend(b.conn.Conn)
		switch {
		case err != nil:
			// This process has closed the connection, or the system does not tell.
			return err
		case state.Failed:
			return errConnectionFailed
		case written && !state.Pending, time.Now().After(until):
			return io.EOF
		}
		time.Sleep(wait)
	}
}
