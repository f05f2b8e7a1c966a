// Package sockets sets up TCP connections that notice a silent peer: without
// the options set here, a write to a peer that was cut off hangs for minutes.
package sockets

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the Linux option TCP_USER_TIMEOUT: the time for which sent
// bytes may stay without an acknowledgement.
const tcpUserTimeout = 18

// keepAliveProbes is the number of unanswered probes that end a connection.
const keepAliveProbes = 2

// Dialer returns a dialer whose connections end when the peer acknowledges
// nothing for the given silence.
func Dialer(timeout, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive(silence),
		Control: func(_, _ string, c syscall.RawConn) error {
			return setUserTimeout(c, silence)
		},
	}
}

// Tune sets the same options on an accepted connection. Connections of other
// kinds than TCP are left as they are.
func Tune(conn net.Conn, silence time.Duration) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetKeepAliveConfig(keepAlive(silence)); err != nil {
		return err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, silence)
}

func keepAlive(silence time.Duration) net.KeepAliveConfig {
	every := max(time.Second, silence/keepAliveProbes)
	return net.KeepAliveConfig{Enable: true, Idle: every, Interval: every, Count: keepAliveProbes}
}

func setUserTimeout(c syscall.RawConn, silence time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Quiet reports whether an idle connection is open and has brought no byte that
// nobody asked for. It does not wait.
func Quiet(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, readErr := syscall.Read(int(fd), b[:])
		quiet = n < 0 && (readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}
