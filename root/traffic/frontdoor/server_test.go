package frontdoor_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/frontdoor"
)

const plainRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// startServer serves requests that take a moment, and returns the server and its address.
func startServer(c *qt.C) (*frontdoor.Server, string) {
	return startServerWith(c, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	})
}

func startServerWith(c *qt.C, h http.HandlerFunc) (*frontdoor.Server, string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := frontdoor.NewServer(ln, h, frontdoor.ServerOptions{
		MaxHeaderBytes: 16 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Minute, Guard: wideGuard(),
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
	return s, ln.Addr().String()
}

// caller is a connection of a caller.
type caller struct {
	net.Conn
	r *bufio.Reader
}

func dialCallers(c *qt.C, address string, n int) []*caller {
	var out []*caller
	for range n {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { conn.Close() })
		out = append(out, &caller{conn, bufio.NewReader(conn)})
	}
	return out
}

func sendAll(c *qt.C, callers []*caller) {
	for _, conn := range callers {
		_, err := io.WriteString(conn, plainRequest)
		c.Assert(err, qt.IsNil)
	}
}

// countResponses reads one response from each caller and returns how many are whole, and
// how many of these announce that the connection closes.
func countResponses(callers []*caller) (whole, closing int) {
	for _, conn := range callers {
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(conn.r, nil)
		if err != nil {
			continue
		}
		if body, err := io.ReadAll(resp.Body); err == nil && string(body) == "ok" {
			whole++
		}
		if resp.Close {
			closing++
		}
	}
	return whole, closing
}

// TestDrainAnswersRequestsThatHaveArrived drains a server right after requests have
// arrived: on idle connections and on connections that are not accepted yet. All of them
// must be answered.
func TestDrainAnswersRequestsThatHaveArrived(t *testing.T) {
	c := qt.New(t)
	const connections = 200
	s, address := startServer(c)
	idle := dialCallers(c, address, connections)
	sendAll(c, idle)
	whole, _ := countResponses(idle)
	c.Assert(whole, qt.Equals, connections)

	sendAll(c, idle)
	fresh := dialCallers(c, address, connections)
	sendAll(c, fresh)
	var drained sync.WaitGroup
	drained.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		c.Check(s.Drain(ctx), qt.IsNil)
	})
	whole, _ = countResponses(idle)
	c.Check(whole, qt.Equals, connections, qt.Commentf("on idle connections"))
	whole, _ = countResponses(fresh)
	c.Check(whole, qt.Equals, connections, qt.Commentf("on new connections"))
	drained.Wait()
	_, err := net.Dial("tcp", address)
	c.Check(err, qt.IsNotNil)
}

// TestResponsesAnnounceTheClose checks that callers learn from each response that its
// connection closes, once the server is about to drain and not before.
func TestResponsesAnnounceTheClose(t *testing.T) {
	c := qt.New(t)
	const connections = 3
	s, address := startServer(c)
	callers := dialCallers(c, address, connections)
	for _, want := range []int{0, connections} {
		if want > 0 {
			s.CloseAfterResponses()
		}
		sendAll(c, callers)
		whole, closing := countResponses(callers)
		c.Check(whole, qt.Equals, connections)
		c.Check(closing, qt.Equals, want)
	}
}

// TestDrainEndsWithSilentConnections drains a server that has a connection without a
// request and an idle one. Neither may hold it up.
func TestDrainEndsWithSilentConnections(t *testing.T) {
	c := qt.New(t)
	s, address := startServer(c)
	callers := dialCallers(c, address, 2)
	sendAll(c, callers[:1])
	whole, _ := countResponses(callers[:1])
	c.Assert(whole, qt.Equals, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	began := time.Now()
	c.Assert(s.Drain(ctx), qt.IsNil)
	c.Assert(time.Since(began) < time.Second, qt.IsTrue)
}

// TestDrainReportsRequestsThatAreLeft drains a server whose handler takes longer than the
// limit.
func TestDrainReportsRequestsThatAreLeft(t *testing.T) {
	c := qt.New(t)
	s, address := startServer(c)
	callers := dialCallers(c, address, 1)
	sendAll(c, callers)
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	c.Assert(s.Drain(ctx), qt.ErrorIs, context.DeadlineExceeded)
}

func TestAbortedResponseOverHTTP10IsNotWhole(t *testing.T) {
	c := qt.New(t)
	_, address := startServerWith(c, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/aborted" {
			panic(http.ErrAbortHandler)
		}
	})
	for _, path := range []string{"/whole", "/aborted"} {
		conn := dialCallers(c, address, 1)[0]
		_, err := io.WriteString(conn, "GET "+path+" HTTP/1.0\r\nHost: h\r\n\r\n")
		c.Assert(err, qt.IsNil)
		text, err := io.ReadAll(conn)
		c.Check(string(text), qt.Contains, "\r\n\r\npart")
		c.Check(err != nil, qt.Equals, path == "/aborted", qt.Commentf("%s: %v", path, err))
	}
}
