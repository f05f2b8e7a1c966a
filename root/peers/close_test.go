package peers_test

import (
	"context"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/peers"
)

// slowCloseConn is a connection whose Close blocks until release is closed.
type slowCloseConn struct {
	net.Conn
	closing chan struct{}
	release chan struct{}
	once    sync.Once
}

func (c *slowCloseConn) Close() error {
	c.once.Do(func() { close(c.closing) })
	<-c.release
	return c.Conn.Close()
}

// pollingReaders returns how many goroutines run in a Read of a yamux stream, without
// those that wait for data.
func pollingReaders() int {
	buf := make([]byte, 1<<20)
	stacks := string(buf[:runtime.Stack(buf, true)])
	n := 0
	for stack := range strings.SplitSeq(stacks, "\n\n") {
		head, _, _ := strings.Cut(stack, "\n")
		if strings.Contains(stack, "yamux.(*Stream).Read(") && !strings.Contains(head, "[select") {
			n++
		}
	}
	return n
}

// TestReadsEndBeforeTheConnectionCloses closes sessions whose connection takes long to
// close. yamux polls without waiting in a Read of a session that is closing, so no
// goroutine may be left in one by then, whoever closes the session.
func TestReadsEndBeforeTheConnectionCloses(t *testing.T) {
	closes := map[string]func(stop func(), remote net.Conn){
		"by its context":    func(stop func(), _ net.Conn) { stop() },
		"by the peer's end": func(_ func(), remote net.Conn) { remote.Close() },
	}
	for name, closeSession := range closes {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ln := listen(t)
			slow := &slowCloseConn{closing: make(chan struct{}), release: make(chan struct{})}
			remote := make(chan net.Conn, 8)
			dialer := func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := peers.PlainDialer(ctx, address)
				if slow.Conn != nil || err != nil {
					return conn, err
				}
				slow.Conn = conn
				return slow, nil
			}
			a := newTestMesh("vm-1", "x", peers.PlainDialer)
			b := newTestMesh("vm-2", "x", dialer)
			serve(t, a.mesh.Acceptor(&capturingListener{Listener: ln, accepted: remote}, 64, func() {}))
			ctx, stop := context.WithCancel(context.Background())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = b.mesh.Link(peers.Peer{ID: "vm-1", Address: ln.Addr().String()}).Serve(ctx)
			}()
			c.Cleanup(func() { <-ended })
			c.Cleanup(stop)
			c.Cleanup(func() { close(slow.release) })
			sendUntilDelivered(t, b, "vm-1", a, machine.NotLeader{Leader: "vm-3"})

			closeSession(stop, <-remote)
			<-slow.closing
			// A reader that handles a last message runs for a moment, one that polls runs on.
			polled := 0
			for i := 0; i < 20 && polled < 3; i++ {
				time.Sleep(5 * time.Millisecond)
				if pollingReaders() == 0 {
					polled = 0
					continue
				}
				polled++
			}
			c.Assert(polled < 3, qt.IsTrue, qt.Commentf("a reader polls"))
		})
	}
}

// TestReplacedSessionDoesNotBlockSends replaces a session whose connection takes long
// to close. The control thread sends meanwhile and must not wait for it.
func TestReplacedSessionDoesNotBlockSends(t *testing.T) {
	c := qt.New(t)
	ln := listen(t)
	release := make(chan struct{})
	a := newTestMesh("vm-1", "x", peers.PlainDialer)
	serve(t, a.mesh.Acceptor(&slowCloseListener{Listener: ln, release: release}, 64, func() {}))
	c.Cleanup(func() { close(release) })
	for incarnation := range uint64(2) {
		b := &testMesh{delivered: make(chan delivery, 16)}
		b.mesh = peers.New(codec.Hello{VM: "vm-2", Incarnation: incarnation + 1, Cluster: "x"}, peers.PlainDialer,
			func(_ context.Context, from string, msg machine.Message) { b.delivered <- delivery{from, msg} }, logr.Discard())
		serve(t, b.mesh.Link(peers.Peer{ID: "vm-1", Address: ln.Addr().String()}))
		sendUntilDelivered(t, b, "vm-1", a, machine.NotLeader{Leader: "vm-3"})
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		a.mesh.Send("vm-2", machine.NotLeader{Leader: "vm-1"})
	}()
	select {
	case <-sent:
	case <-time.After(2 * time.Second):
		t.Fatal("a send waits for the close of a replaced session")
	}
}

// TestPanicEndsOnlyTheSession panics while a received message is handled. The session
// ends, and the next one delivers.
func TestPanicEndsOnlyTheSession(t *testing.T) {
	ln := listen(t)
	a := &testMesh{delivered: make(chan delivery, 16)}
	panicked := false
	a.mesh = peers.New(codec.Hello{VM: "vm-1", Incarnation: 1, Cluster: "x"}, peers.PlainDialer,
		func(_ context.Context, from string, msg machine.Message) {
			if !panicked {
				panicked = true
				panic("broken message")
			}
			a.delivered <- delivery{from, msg}
		}, logr.Discard())
	b := newTestMesh("vm-2", "x", peers.PlainDialer)
	serve(t, a.mesh.Acceptor(ln, 64, func() {}))
	serve(t, b.mesh.Link(peers.Peer{ID: "vm-1", Address: ln.Addr().String()}))
	sendUntilDelivered(t, b, "vm-1", a, machine.NotLeader{Leader: "vm-3"})
}

// capturingListener passes on the connections that it accepts.
type capturingListener struct {
	net.Listener
	accepted chan net.Conn
}

func (l *capturingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- conn
	}
	return conn, err
}

// slowCloseListener accepts connections whose Close blocks until release is closed.
type slowCloseListener struct {
	net.Listener
	release chan struct{}
}

func (l *slowCloseListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowCloseConn{Conn: conn, closing: make(chan struct{}), release: l.release}, nil
}
