package peers_test

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/peers"
)

// Connections that never become sessions must not keep out those that do, whatever their
// number is.
func TestSilentConnectionsMakeRoomForSessions(t *testing.T) {
	c := qt.New(t)
	a, b := newTestMesh("vm-1", "x", peers.PlainDialer), newTestMesh("vm-2", "x", peers.PlainDialer)
	var evicted atomic.Int64
	ln := listen(t)
	serve(t, a.mesh.Acceptor(ln, 4, func() { evicted.Add(1) }))
	for range 12 {
		conn, err := net.Dial("tcp", ln.Addr().String())
		c.Assert(err, qt.IsNil)
		t.Cleanup(func() { conn.Close() })
	}
	serve(t, b.mesh.Link(peers.Peer{ID: "vm-1", Address: ln.Addr().String()}))
	d := sendUntilDelivered(t, b, "vm-1", a, machine.NotLeader{Leader: "vm-3"})
	c.Check(d.from, qt.Equals, "vm-2")
	c.Check(evicted.Load() >= 8, qt.IsTrue, qt.Commentf("%d evicted", evicted.Load()))
}

// A sender that has not said who it is must not make this process read what yamux would
// buffer for it. What the kernel holds is not counted, so far more is offered.
func TestLittleIsReadBeforeASessionIsSetUp(t *testing.T) {
	c := qt.New(t)
	a := newTestMesh("vm-1", "x", peers.PlainDialer)
	read := &atomic.Int64{}
	ln := &meteredListener{Listener: listen(t), read: read}
	serve(t, a.mesh.Acceptor(ln, 4, func() {}))
	conn, err := net.Dial("tcp", ln.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	// A stream that is opened and then gets data: version 0, type, flags, stream 1, length.
	header := []byte{0, 0, 0, 1, 0, 0, 0, 1, 0, 3, 0, 0}
	_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
	// The write ends by its deadline once nobody reads any more.
	_, _ = conn.Write(append(header, bytes.Repeat([]byte{0xff}, 190<<10)...))
	// The attempt ends before the test does.
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.Copy(io.Discard, conn)
	c.Check(read.Load() <= 16<<10, qt.IsTrue, qt.Commentf("%d bytes were read", read.Load()))
}

// meteredListener counts what is read from its connections.
type meteredListener struct {
	net.Listener
	read *atomic.Int64
}

func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, read: l.read}, nil
}

type meteredConn struct {
	net.Conn
	read *atomic.Int64
}

func (m *meteredConn) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	m.read.Add(int64(n))
	return n, err
}
