package engine_test

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// TestCheckTellsAFullServerFromOneThatIsGone guards against losses reported for servers
// that only lack capacity: they listen but accept nothing.
func TestCheckTellsAFullServerFromOneThatIsGone(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	tr := engine.NewTransport()
	c.Assert(tr.Check(t.Context(), address), qt.IsNil)
	c.Assert(listener.Close(), qt.IsNil)
	err = tr.Check(t.Context(), address)
	c.Assert(err, qt.ErrorIs, syscall.ECONNREFUSED)
	c.Assert(engine.Gone(err), qt.IsTrue)
	c.Assert(tr.Stats().Opened, qt.Equals, uint64(0))
}

// TestFailuresOfThisProcessAreNotThoseOfTheServer covers errors of a dial that say nothing
// about the server.
func TestFailuresOfThisProcessAreNotThoseOfTheServer(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c.Assert(engine.Gone(engine.NewTransport().Check(ctx, "127.0.0.1:1")), qt.IsFalse)
	c.Assert(engine.Gone(&net.OpError{Op: "dial", Err: syscall.EMFILE}), qt.IsFalse)
	c.Assert(engine.Gone(nil), qt.IsFalse)

	ctx, cancel = context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	c.Assert(engine.Gone(engine.NewTransport().Check(ctx, "127.0.0.1:1")), qt.IsTrue)
	c.Assert(engine.Gone(&net.OpError{Op: "dial", Err: syscall.EHOSTUNREACH}), qt.IsTrue)
}

// TestEndBeforeTheHeadIsToldFromOurOwn guards against a server that is held to have closed
// a connection that this process closed when the caller left.
func TestEndBeforeTheHeadIsToldFromOurOwn(t *testing.T) {
	c := qt.New(t)
	for name, end := range map[string]func(net.Conn){
		"FIN": func(conn net.Conn) { conn.Close() },
		"RST": func(conn net.Conn) {
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		},
		"within the head": func(conn net.Conn) {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-"))
			conn.Close()
		},
	} {
		address, _ := listen(t, func(_ int, conn net.Conn) {
			_, _ = conn.Read(make([]byte, 1024))
			end(conn)
		})
		_, err := engine.NewTransport().Do(t.Context(), address, 0, get("/"))
		c.Check(engine.ClosedByPeer(err), qt.IsTrue, qt.Commentf("%s: %v", name, err))
	}
	address, _ := listen(t, func(_ int, conn net.Conn) { _, _ = conn.Read(make([]byte, 1024)); time.Sleep(time.Second) })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := engine.NewTransport().Do(ctx, address, 0, get("/"))
	c.Check(engine.ClosedByPeer(err), qt.IsFalse, qt.Commentf("%v", err))
	c.Check(engine.Unreachable(err), qt.IsFalse)
}

func TestUnframedResponses(t *testing.T) {
	c := qt.New(t)
	for response, unframed := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\nbody":                                                 true,
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody":                            false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n": false,
		"HTTP/1.1 204 No Content\r\n\r\n":                                             false,
	} {
		address, _ := listen(t, respondAll(response))
		resp, err := engine.NewTransport().Do(t.Context(), address, 0, get("/"))
		c.Assert(err, qt.IsNil)
		c.Check(engine.Unframed(resp), qt.Equals, unframed, qt.Commentf("%q", response))
		resp.Body.Close()
	}
	head := &http.Response{ContentLength: -1, Request: &http.Request{Method: http.MethodHead}}
	c.Check(engine.Unframed(head), qt.IsFalse)
}
