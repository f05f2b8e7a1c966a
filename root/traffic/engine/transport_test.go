package engine_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/standin"
)

// listen starts a server that passes its n-th connection to serve, and returns its
// address and the function that counts the connections.
func listen(t *testing.T, serve func(n int, c net.Conn)) (address string, connections func() int) {
	server, err := standin.NewRawServer(serve)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { server.Close() })
	return server.Address(), server.Connections
}

// respondAll responds to every request of a connection with the same bytes.
func respondAll(response string) func(int, net.Conn) {
	return func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			if _, err := io.WriteString(c, response); err != nil {
				return
			}
		}
	}
}

// get returns a GET request for target.
func get(target string) engine.RawRequest {
	return engine.RawRequest{Method: http.MethodGet, RequestTarget: target, Host: "h", Header: http.Header{}}
}

// fetch sends a request and returns the body of its response.
func fetch(t *testing.T, tr *engine.Transport, address string, req engine.RawRequest) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	resp, err := tr.Do(ctx, address, 0, req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

const keepAliveResponse = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"

func TestKeepAliveConnectionIsReused(t *testing.T) {
	c := qt.New(t)
	address, count := listen(t, respondAll(keepAliveResponse))
	tr := engine.NewTransport()
	for range 3 {
		body, err := fetch(t, tr, address, get("/"))
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "ok")
	}
	c.Assert(count(), qt.Equals, 1)
}

func TestConnectionIsNotReused(t *testing.T) {
	for name, response := range map[string]string{
		"after Connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"after surplus bytes":     keepAliveResponse + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
		"with idle timeout of 0":  "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, count := listen(t, respondAll(response))
			tr := engine.NewTransport()
			for range 2 {
				body, err := fetch(t, tr, address, get("/"))
				c.Assert(err, qt.IsNil)
				c.Assert(body, qt.Equals, "ok")
				// Surplus bytes have to arrive before the next request.
				time.Sleep(20 * time.Millisecond)
			}
			c.Assert(count(), qt.Equals, 2)
		})
	}
}

// TestRequestIsNotResent closes a reused connection after the request was read,
// where net/http would send a GET again. The transport must neither do that nor
// report the request as not sent.
func TestRequestIsNotResent(t *testing.T) {
	c := qt.New(t)
	var secondRequests atomic.Int32
	address, _ := listen(t, func(n int, conn net.Conn) {
		r := bufio.NewReader(conn)
		if n == 1 {
			if _, err := http.ReadRequest(r); err == nil {
				io.WriteString(conn, keepAliveResponse)
			}
		}
		if _, err := http.ReadRequest(r); err == nil {
			secondRequests.Add(1)
		}
	})
	tr := engine.NewTransport()
	_, err := fetch(t, tr, address, get("/first"))
	c.Assert(err, qt.IsNil)
	_, err = fetch(t, tr, address, get("/second"))
	var sendErr *engine.SendError
	c.Assert(errors.As(err, &sendErr), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(sendErr.NotSent, qt.IsFalse)
	c.Assert(secondRequests.Load(), qt.Equals, int32(1))
}

func TestConnectionRefusedIsNotSent(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := ln.Addr().String()
	ln.Close()
	_, err = fetch(t, engine.NewTransport(), address, get("/"))
	var sendErr *engine.SendError
	c.Assert(errors.As(err, &sendErr), qt.IsTrue)
	c.Assert(sendErr.NotSent, qt.IsTrue)
}

func TestConnectionLimit(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	defer close(release)
	address, _ := listen(t, func(_ int, conn net.Conn) { <-release })
	tr := engine.NewTransport()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = tr.Do(ctx, address, 1, get("/"))
	}()
	for tr.Stats().Opened == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := tr.Do(t.Context(), address, 1, get("/"))
	var sendErr *engine.SendError
	c.Assert(errors.As(err, &sendErr), qt.IsTrue)
	c.Assert(sendErr.NotSent, qt.IsTrue)
	cancel()
	<-done
}

func TestResponseBeforeLargeBodyIsRead(t *testing.T) {
	c := qt.New(t)
	address, _ := listen(t, func(_ int, conn net.Conn) {
		r := bufio.NewReader(conn)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
		io.Copy(io.Discard, r)
	})
	req := engine.RawRequest{Method: http.MethodPost, RequestTarget: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 8<<20)}
	body, err := fetch(t, engine.NewTransport(), address, req)
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "no")
}

// TestVerbatimReaderKeepsBytes covers line ends, comments and an unknown field.
func TestVerbatimReaderKeepsBytes(t *testing.T) {
	c := qt.New(t)
	text := "id: 1\ndata: a\n\nother: 2\nid:2\r\ndata: b\r\n\r\n: note\n\n"
	r := engine.NewVerbatimReader(strings.NewReader(text))
	var all string
	var ids []uint64
	for {
		ev, err := r.Next()
		if err == io.EOF {
			break
		}
		c.Assert(err, qt.IsNil)
		all += string(ev.Bytes)
		ids = append(ids, ev.ID)
	}
	c.Assert(all, qt.Equals, text)
	c.Assert(ids, qt.DeepEquals, []uint64{1, 2, 0})
}

func TestVerbatimReaderRejectsTruncatedEvent(t *testing.T) {
	c := qt.New(t)
	r := engine.NewVerbatimReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b"))
	_, err := r.Next()
	c.Assert(err, qt.IsNil)
	_, err = r.Next()
	c.Assert(err, qt.Not(qt.IsNil))
	c.Assert(err, qt.Not(qt.Equals), io.EOF)
}
