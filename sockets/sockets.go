// Package sockets configures TCP connections to detect an unresponsive peer. Without
// these options, a write to an unreachable peer blocks for minutes.
package sockets

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, the maximum time for
// which sent data may remain unacknowledged.
const tcpUserTimeout = 18

// keepAliveProbes is the number of unacknowledged probes that close a connection.
const keepAliveProbes = 2

// Dialer returns a dialer with a connect timeout. Its connections fail when the peer
// acknowledges no data or probe for ackTimeout.
func Dialer(timeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive(ackTimeout),
		Control: func(_, _ string, c syscall.RawConn) error {
			return setUserTimeout(c, ackTimeout)
		},
	}
}

// Configure sets the options of Dialer on an accepted connection. It does nothing if
// the connection is not TCP.
func Configure(conn net.Conn, ackTimeout time.Duration) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetKeepAliveConfig(keepAlive(ackTimeout)); err != nil {
		return err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, ackTimeout)
}

func keepAlive(ackTimeout time.Duration) net.KeepAliveConfig {
	interval := max(time.Second, ackTimeout/keepAliveProbes)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: keepAliveProbes}
}

func setUserTimeout(c syscall.RawConn, ackTimeout time.Duration) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// HasData reports whether a connection has received data that was not read yet. It
// neither blocks nor reads. It is false for a connection that is not TCP.
func HasData(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	hasData := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		hasData = peekErr == nil && n > 0
	})
	return err == nil && hasData
}

// Reusable reports whether an idle connection is open and has received no
// unsolicited data. It does not block. A connection that is not TCP is assumed to be
// reusable. Received data is lost to later reads, so such a connection must be closed.
func Reusable(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, readErr := syscall.Read(int(fd), b[:])
		reusable = n < 0 && (readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && reusable
}

// tcpClose is the state of a TCP connection that has failed or that both sides have closed.
const tcpClose = 7

// SendState is the state of what a connection sends.
type SendState struct {
	// Failed is set if the connection was reset or has timed out, also if the error of that
	// has been returned to another call.
	Failed bool
	// Pending is set while the peer's host has not acknowledged all bytes written.
	Pending bool
}

// CheckSend returns the state of what a connection sends. It does not block. A connection
// that is not TCP counts as neither failed nor pending. An error means that this process has
// closed the connection, or that the system does not tell.
func CheckSend(conn net.Conn) (SendState, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return SendState{}, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return SendState{}, err
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil {
		return SendState{}, err
	}
	if infoErr != nil {
		return SendState{}, infoErr
	}
	return SendState{Failed: info.State == tcpClose, Pending: info.Unacked > 0 || info.Notsent_bytes > 0}, nil
}
