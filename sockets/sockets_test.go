package sockets_test

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/sockets"
)

// connect returns both ends of a TCP connection.
func connect(c *qt.C) (conn, peer *net.TCPConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	dialed, err := net.Dial("tcp", ln.Addr().String())
	c.Assert(err, qt.IsNil)
	accepted, err := ln.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		dialed.Close()
		accepted.Close()
	})
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// TestResetThatAWriteReportsLooksLikeAnEndToReads shows why the end of the data alone doesn't
// tell that the peer has closed in order.
func TestResetThatAWriteReportsLooksLikeAnEndToReads(t *testing.T) {
	c := qt.New(t)
	conn, peer := connect(c)
	_, err := io.WriteString(peer, "part")
	c.Assert(err, qt.IsNil)
	c.Assert(peer.SetLinger(0), qt.IsNil)
	c.Assert(peer.Close(), qt.IsNil)
	for err == nil {
		_, err = conn.Write(make([]byte, 1<<10))
	}
	data, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, "part")
	state, err := sockets.CheckSend(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(state.Failed, qt.IsTrue)
}

// TestOrderlyEndIsNoFailure ends the data of the peer, which has yet to read.
func TestOrderlyEndIsNoFailure(t *testing.T) {
	c := qt.New(t)
	conn, peer := connect(c)
	c.Assert(peer.CloseWrite(), qt.IsNil)
	_, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	state, err := sockets.CheckSend(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(state, qt.Equals, sockets.SendState{})
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, 64<<20))
		written <- err
	}()
	for !state.Pending {
		time.Sleep(time.Millisecond)
		state, err = sockets.CheckSend(conn)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(state.Failed, qt.IsFalse)
	_, err = io.CopyN(io.Discard, peer, 64<<20)
	c.Assert(err, qt.IsNil)
	c.Assert(<-written, qt.IsNil)
}

// TestClosedConnectionHasNoState closes the connection in this process.
func TestClosedConnectionHasNoState(t *testing.T) {
	c := qt.New(t)
	conn, _ := connect(c)
	c.Assert(conn.Close(), qt.IsNil)
	_, err := sockets.CheckSend(conn)
	c.Assert(err, qt.ErrorIs, net.ErrClosed)
}
