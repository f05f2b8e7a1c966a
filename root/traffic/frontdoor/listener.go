package frontdoor

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// drainingListener is a listener that accepts the connections in its queue before it
// closes: the kernel resets those that are left.
type drainingListener struct {
	net.Listener
	draining atomic.Bool
}

// acceptQueued makes Accept return the connections in the queue, and those that arrive
// within limit, and then net.ErrClosed.
func (l *drainingListener) acceptQueued(limit time.Duration) {
	l.draining.Store(true)
	deadliner, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || deadliner.SetDeadline(time.Now().Add(limit)) != nil {
		// The error of a listener that is closed already doesn't matter.
		_ = l.Listener.Close()
	}
}

// Accept implements net.Listener.
func (l *drainingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil && l.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		_ = l.Listener.Close()
		return nil, net.ErrClosed
	}
	return conn, err
}
