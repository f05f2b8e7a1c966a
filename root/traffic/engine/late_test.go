package engine_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// identified returns a request with an id, which the Id header field of its response
// repeats.
func identified(id string) engine.RawRequest {
	req := get("/" + id)
	req.ID = id
	req.ResponseID = func(h http.Header) string { return h.Get("Id") }
	return req
}

// response returns a response with a body and, unless id is empty, an Id header field.
func response(id, body string) string {
	field := ""
	if id != "" {
		field = "Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n%sContent-Length: %d\r\n\r\n%s", field, len(body), body)
}

// respondInTurn reads a request before it writes each of the responses. Every connection
// begins with the first one.
func respondInTurn(responses ...string) func(int, net.Conn) {
	return func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		for _, text := range responses {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
		// Waits until the client closes.
		_, _ = io.Copy(io.Discard, r)
	}
}

// TestLateCopyOnAReusedConnectionIsSkipped sends the first response a second time, just
// before the response to the next request on the connection.
func TestLateCopyOnAReusedConnectionIsSkipped(t *testing.T) {
	c := qt.New(t)
	address, count := listen(t, respondInTurn(response("one", "first"), response("one", "first")+response("two", "second")))
	tr := engine.NewTransport()
	for _, want := range [][2]string{{"one", "first"}, {"two", "second"}} {
		body, err := fetch(t, tr, address, identified(want[0]))
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, want[1])
	}
	c.Assert(count(), qt.Equals, 1)
	c.Assert(tr.Stats().Unsolicited, qt.Equals, uint64(1))
}

// TestLateCopyWithoutIDReachesNobody sends the first response a second time late, from a
// server whose responses have no ids. Its connections must not carry a second request.
func TestLateCopyWithoutIDReachesNobody(t *testing.T) {
	c := qt.New(t)
	var connections atomic.Int32
	address, _ := listen(t, func(_ int, conn net.Conn) {
		r := bufio.NewReader(conn)
		body := fmt.Sprintf("caller %d", connections.Add(1))
		for n := 0; ; n++ {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if n > 0 {
				body = "late copy"
			}
			if _, err := io.WriteString(conn, response("", body)); err != nil {
				return
			}
		}
	})
	tr := engine.NewTransport()
	for _, want := range []string{"caller 1", "caller 2"} {
		body, err := fetch(t, tr, address, identified("any"))
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, want)
	}
}

// TestResponseThatCannotBeOursIsRefused sends responses that can't be told to answer the
// request. The caller gets no response, and at once.
func TestResponseThatCannotBeOursIsRefused(t *testing.T) {
	for name, responses := range map[string][]string{
		"without an id on a reused connection":     {response("one", "first"), response("", "unidentified")},
		"to another request on a new connection":   {response("other", "crossed")},
		"to one never sent on a reused connection": {response("one", "first"), response("other", "crossed")},
		"endless ones on a reused connection":      {response("one", "first"), strings.Repeat(response("one", "again"), 1000)},
		"endless interim ones on a new connection": {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100_000)},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, _ := listen(t, respondInTurn(responses...))
			tr := engine.NewTransport()
			if len(responses) == 2 {
				_, err := fetch(t, tr, address, identified("one"))
				c.Assert(err, qt.IsNil)
			}
			began := time.Now()
			_, err := fetch(t, tr, address, identified("two"))
			c.Assert(fault.Is(err, fault.OutcomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(time.Since(began) < 2*time.Second, qt.IsTrue)
		})
	}
}

// TestEndlessBytesEndTheRequest sends bytes without end where a response is expected. The
// request must fail, and soon, without reading on.
func TestEndlessBytesEndTheRequest(t *testing.T) {
	// The largest body that is read, and what the sockets buffer.
	const maxSent = 8<<20 + 32<<20
	for name, begin := range map[string]string{
		"in a status line":     "HTTP/1.1 200 ",
		"in a header field":    "HTTP/1.1 200 OK\r\nId: ",
		"in header fields":     "HTTP/1.1 200 OK\r\n",
		"no response at all":   "",
		"in a body":            "HTTP/1.1 200 OK\r\nId: one\r\n\r\n",
		"in a chunk size":      "HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n",
		"in a chunk's trailer": "HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var sent atomic.Int64
			address, _ := listen(t, func(_ int, conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				text := begin
				noise := strings.Repeat("x", 4<<10)
				if name == "in header fields" {
					noise = strings.Repeat("X: y\r\n", 700)
				}
				for {
					n, err := io.WriteString(conn, text)
					if sent.Add(int64(n)); err != nil {
						return
					}
					text = noise
				}
			})
			tr := engine.NewTransport()
			resp, err := tr.Do(t.Context(), address, 0, identified("one"))
			if err == nil {
				_, err = tr.ReadBody(resp.Body)
				resp.Body.Close()
			}
			c.Assert(err, qt.IsNotNil)
			c.Assert(sent.Load() < maxSent, qt.IsTrue, qt.Commentf("%d bytes", sent.Load()))
		})
	}
}

// TestManyEndlessBodiesShareAMemoryLimit reads bodies without end from several servers at
// once. Together they must take no more memory than the transport allows, and once they
// have failed, a large response is read again.
func TestManyEndlessBodiesShareAMemoryLimit(t *testing.T) {
	c := qt.New(t)
	const bodies = 12
	large := strings.Repeat("y", 6<<20)
	address, _ := listen(t, func(_ int, conn net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if req.URL.Path == "/whole" {
			_, _ = io.WriteString(conn, response("whole", large))
			return
		}
		text := "HTTP/1.1 200 OK\r\nId: endless\r\n\r\n"
		for {
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
			text = large
		}
	})
	tr := engine.NewTransport()
	var done sync.WaitGroup
	var failed atomic.Int32
	for range bodies {
		done.Go(func() {
			resp, err := tr.Do(t.Context(), address, 0, identified("endless"))
			if err != nil {
				return
			}
			defer resp.Body.Close()
			if _, err := tr.ReadBody(resp.Body); err != nil {
				failed.Add(1)
			}
			if held := tr.Stats().BodyBytes; held > 32<<20 {
				t.Errorf("%d bytes of bodies in memory", held)
			}
		})
	}
	done.Wait()
	c.Assert(failed.Load(), qt.Equals, int32(bodies))
	c.Assert(tr.Stats().BodyBytes, qt.Equals, int64(0))
	resp, err := tr.Do(t.Context(), address, 0, identified("whole"))
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	body, err := tr.ReadBody(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(len(body), qt.Equals, len(large))
}

// TestClientOfTheOwnFrontSkipsLateCopies sends a late copy of a response on a connection
// that is in use again, as seen by the client of the own front.
func TestClientOfTheOwnFrontSkipsLateCopies(t *testing.T) {
	c := qt.New(t)
	named := func(id, body string) string {
		return strings.Replace(response(id, body), "Id: ", engine.RequestIDHeader+": ", 1)
	}
	address, count := listen(t, respondInTurn(named("one", "first"), named("one", "first")+named("two", "second")))
	client := engine.NewHTTPClient()
	c.Cleanup(client.Close)
	for _, want := range [][2]string{{"one", "first"}, {"two", "second"}} {
		resp, err := client.Do(t.Context(), fleet.Server{ID: "e", Address: "http://" + address}, engine.Call{
			RequestID: want[0], Method: http.MethodPost, RequestTarget: "/x", Body: []byte("{}"),
		})
		c.Assert(err, qt.IsNil)
		body, err := resp.Body()
		c.Assert(err, qt.IsNil)
		resp.Close()
		c.Assert(string(body), qt.Equals, want[1])
	}
	c.Assert(count(), qt.Equals, 1)
	c.Assert(client.Stats().Mismatched, qt.Equals, uint64(1))
}
