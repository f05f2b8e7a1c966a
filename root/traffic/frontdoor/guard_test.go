package frontdoor_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/budget"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/frontdoor"
)

// guarded is a server with a guard and what the guard has closed.
type guarded struct {
	address string
	// entered receives a value when a request to /held begins, which ends with release.
	entered, release chan struct{}
	connections      *budget.Budget
	heads            *budget.Budget

	mu      sync.Mutex
	reasons []frontdoor.CloseReason
}

func startGuarded(c *qt.C, connections int64) *guarded {
	g := &guarded{
		entered: make(chan struct{}, 16), release: make(chan struct{}),
		connections: budget.New(budget.Options{Large: connections}),
		heads:       budget.New(budget.Options{Small: 1 << 20, Large: 1 << 20, SmallClaim: 32 << 10}),
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	g.address = ln.Addr().String()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			g.entered <- struct{}{}
			<-g.release
		}
		_, _ = io.WriteString(w, "ok")
	})
	s := frontdoor.NewServer(ln, handler, frontdoor.ServerOptions{
		MaxHeaderBytes: 16 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute,
		Guard: &frontdoor.Guard{
			Connections: g.connections, Heads: g.heads, MaxHeadLines: 5_500, MaxHeadBytes: 20 << 10,
			OnClosed: func(reason frontdoor.CloseReason) {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.reasons = append(g.reasons, reason)
			},
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(ctx)
	}()
	c.Cleanup(func() {
		cancel()
		<-ended
	})
	return g
}

func (g *guarded) closedFor() []frontdoor.CloseReason {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.reasons)
}

// eventually waits for a condition, for as long as a loaded machine may need.
func eventually(c *qt.C, what string, holds func() bool) {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	c.Fatalf("never: %s", what)
}

// isClosed reports whether the server has closed a connection.
func isClosed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return err != nil && (!ok || !timeout.Timeout())
}

// At the bound the connection that has been without a request for longest must make room,
// but never one that carries a request.
func TestTheConnectionBoundClosesTheLongestIdle(t *testing.T) {
	c := qt.New(t)
	g := startGuarded(c, 3)
	held := dialCallers(c, g.address, 1)[0]
	fmt.Fprintf(held, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	<-g.entered
	idle := dialCallers(c, g.address, 1)
	sendAll(c, idle)
	whole, _ := countResponses(idle)
	c.Assert(whole, qt.Equals, 1)
	part := dialCallers(c, g.address, 1)[0]
	fmt.Fprintf(part, "GET / HTTP/1.1\r\n")
	eventually(c, "three connections", func() bool { return g.connections.Stats().Used == 3 })
	for range 3 {
		fresh := dialCallers(c, g.address, 1)
		sendAll(c, fresh)
		whole, _ := countResponses(fresh)
		c.Check(whole, qt.Equals, 1)
	}
	eventually(c, "the idle one is closed", func() bool { return isClosed(idle[0]) })
	eventually(c, "the one in its head is closed", func() bool { return isClosed(part) })
	close(g.release)
	whole, _ = countResponses([]*caller{held})
	c.Check(whole, qt.Equals, 1, qt.Commentf("the running request"))
	c.Check(slices.Contains(g.closedFor(), frontdoor.ConnectionEvicted), qt.IsTrue)
}

// Where all connections carry requests, a new one is refused and those run on.
func TestNoConnectionWithARequestIsClosed(t *testing.T) {
	c := qt.New(t)
	g := startGuarded(c, 2)
	held := dialCallers(c, g.address, 2)
	for _, conn := range held {
		fmt.Fprintf(conn, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
		<-g.entered
	}
	fresh := dialCallers(c, g.address, 1)
	eventually(c, "the new one is closed", func() bool { return isClosed(fresh[0]) })
	close(g.release)
	whole, _ := countResponses(held)
	c.Check(whole, qt.Equals, 2)
	c.Check(g.closedFor(), qt.DeepEquals, []frontdoor.CloseReason{frontdoor.ConnectionRefused})
}

// The memory of a head must be reserved until its response ends, and be given back then.
func TestHeadsAreAccountedForUntilTheResponse(t *testing.T) {
	c := qt.New(t)
	g := startGuarded(c, 50)
	head := "GET /held HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("ab:\r\n", 3_000)
	held := dialCallers(c, g.address, 1)[0]
	_, err := io.WriteString(held, head+"\r\n")
	c.Assert(err, qt.IsNil)
	<-g.entered
	c.Check(g.heads.Stats().Used > 3_000*200, qt.IsTrue, qt.Commentf("%d", g.heads.Stats().Used))
	// The reserve of large heads is used by a request that runs.
	more := dialCallers(c, g.address, 1)[0]
	_, err = io.WriteString(more, head)
	c.Assert(err, qt.IsNil)
	eventually(c, "the second large head is refused", func() bool { return isClosed(more) })
	c.Check(g.closedFor(), qt.DeepEquals, []frontdoor.CloseReason{frontdoor.HeadNoMemory})
	ordinary := dialCallers(c, g.address, 1)
	sendAll(c, ordinary)
	whole, _ := countResponses(ordinary)
	c.Check(whole, qt.Equals, 1, qt.Commentf("an ordinary head"))
	close(g.release)
	whole, _ = countResponses([]*caller{held})
	c.Check(whole, qt.Equals, 1)
	held.Close()
	ordinary[0].Close()
	eventually(c, "all memory is given back", func() bool { return g.heads.Stats().Used == 0 && g.connections.Stats().Used == 0 })
}

// A head that was begun in the bytes read for the request before counts too.
func TestPipelinedHeadsAreAccountedFor(t *testing.T) {
	c := qt.New(t)
	g := startGuarded(c, 50)
	conn := dialCallers(c, g.address, 1)
	_, err := io.WriteString(conn[0], plainRequest+"GET / HTTP/1.1\r\n"+strings.Repeat("ab:\r\n", 700))
	c.Assert(err, qt.IsNil)
	whole, _ := countResponses(conn)
	c.Assert(whole, qt.Equals, 1)
	eventually(c, "700 lines are accounted for", func() bool { return g.heads.Stats().Used >= 700*200 })
}

// Heads with too many lines must be ended, whatever their bytes are.
func TestAHeadOfTooManyLinesIsEnded(t *testing.T) {
	c := qt.New(t)
	g := startGuarded(c, 50)
	conn := dialCallers(c, g.address, 1)[0]
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\n", 5_600))
	eventually(c, "the connection is closed", func() bool { return isClosed(conn) })
	eventually(c, "the reason is counted", func() bool {
		return slices.Contains(g.closedFor(), frontdoor.HeadLines) || slices.Contains(g.closedFor(), frontdoor.HeadNoMemory)
	})
}

// wideGuard closes no connection of an ordinary test.
func wideGuard() *frontdoor.Guard {
	return &frontdoor.Guard{
		Connections:  budget.New(budget.Options{Large: 10_000}),
		Heads:        budget.New(budget.Options{Small: 64 << 20, Large: 64 << 20, SmallClaim: 32 << 10}),
		MaxHeadLines: 8_192, MaxHeadBytes: 20 << 10,
		OnClosed: func(frontdoor.CloseReason) {},
	}
}
