package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// serveEvents responds with the given server-sent events and ends the response.
func serveEvents(events string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(engine.RequestIDHeader, r.Header.Get(engine.RequestIDHeader))
		fmt.Fprint(w, events)
	}
}

// numberedEvents returns events of request "me" with the given numbers.
func numberedEvents(numbers ...int) string {
	var b strings.Builder
	for _, n := range numbers {
		fmt.Fprintf(&b, "id: me/%d\ndata: %d\n\n", n, n)
	}
	return b.String()
}

const doneEvent = "data: [DONE]\n\n"

func TestNextReturnsEachEventOnceInOrder(t *testing.T) {
	comments := strings.Repeat(": still here\n\n", 100_000)
	tests := []struct {
		name, events string
		resumeAfter  int
		want         string
		complete     bool
		// resumable is checked only if complete is false.
		resumable bool
	}{
		{"numbered", numberedEvents(1, 2) + "id: me/3\n" + doneEvent, 0, "1 2 [DONE]", true, true},
		{"unnumbered", "data: a\n\ndata: b\n\n" + doneEvent, 0, "a b [DONE]", true, false},
		{"resumed", numberedEvents(3, 4), 2, "3 4", false, true},
		{"duplicate events", numberedEvents(1, 1, 2, 1, 3), 0, "1 2 3", false, true},
		{"restarted from the first event", numberedEvents(1, 2, 3), 2, "3", false, true},
		{"event of another request", "id: other/1\ndata: x\n\n" + numberedEvents(1), 0, "1", false, true},
		{"gap", numberedEvents(1, 3), 0, "1", false, true},
		{"invalid number", "id: me/x\ndata: x\n\n" + numberedEvents(1), 0, "1", false, true},
		{"unnumbered after resume", "data: a\n\n" + doneEvent, 1, "", false, false},
		{"unnumbered after numbered", numberedEvents(1) + "data: b\n\n" + doneEvent, 0, "1", false, false},
		{"truncated within a line", numberedEvents(1) + "id: me/2\ndata: 2", 0, "1", false, true},
		{"truncated before the blank line", numberedEvents(1) + "id: me/2\ndata: 2\n", 0, "1", false, true},
		{"data lines that end with CRLF", "data: a\r\ndata: b\r\n\r\n" + doneEvent, 0, "a\nb [DONE]", true, false},
		{"comments", comments + "data: a\n\n" + doneEvent, 0, "a [DONE]", true, false},
		{"event too large", "data: " + strings.Repeat("x", 2<<20) + "\n\n" + doneEvent, 0, "", false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			resp := doStream(c, serveEvents(test.events), test.resumeAfter)
			defer resp.Close()
			got, complete, err := readAll(resp)
			c.Check(strings.Join(got, " "), qt.Equals, test.want)
			c.Check(complete, qt.Equals, test.complete)
			c.Check(err == nil, qt.Equals, test.complete)
			if err != nil {
				c.Check(fault.KindOf(err), qt.Equals, fault.StreamCut)
				c.Check(resp.Resumable(), qt.Equals, test.resumable)
			}
		})
	}
}

// doStream requests the stream that h serves.
func doStream(c *qt.C, h http.HandlerFunc, resumeAfter int) engine.Response {
	server := httptest.NewServer(h)
	c.Cleanup(server.Close)
	client := engine.NewHTTPClient()
	c.Cleanup(client.Close)
	resp, err := client.Do(c.Context(), fleet.Server{ID: "e", Address: server.URL}, engine.Call{
		RequestID: "me", Method: "POST", RequestTarget: "/", Stream: true, ResumeAfter: resumeAfter,
	})
	c.Assert(err, qt.IsNil)
	return resp
}

// readAll reads events up to the last one or an error.
func readAll(resp engine.Response) (got []string, complete bool, err error) {
	for {
		ev, err := resp.Next()
		if err != nil {
			return got, false, err
		}
		got = append(got, string(ev.Data))
		if ev.Done {
			return got, true, nil
		}
	}
}

// TestNotSentOnlyIfNoByteWasSent guards at-most-once execution: the forwarder reports
// a request that failed with NotSent as not executed, so it may be sent again.
func TestNotSentOnlyIfNoByteWasSent(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	closed.Close()
	dropsConn := serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	otherID := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(engine.RequestIDHeader, "other") })
	largeHeader := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Large", strings.Repeat("x", 1<<20))
	})
	hangs := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		// net/http detects a disconnected client only after the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	tests := []struct {
		name, address string
		notSent       bool
	}{
		{"no listener", "http://" + closed.Addr().String(), true},
		{"invalid address", "http://127.0.0.1:bad", true},
		{"connection dropped", dropsConn, false},
		{"response to another request", otherID, false},
		{"header too large", largeHeader, false},
		{"no response before the deadline", hangs, false},
	}
	for _, test := range tests {
		for _, atMostOnce := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s atMostOnce=%t", test.name, atMostOnce), func(t *testing.T) {
				c := qt.New(t)
				client := engine.NewHTTPClient()
				defer client.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				defer cancel()
				call := engine.Call{RequestID: "me", Method: "POST", RequestTarget: "/", Body: []byte("x"), AtMostOnce: atMostOnce}
				_, err := client.Do(ctx, fleet.Server{ID: "e", Address: test.address}, call)
				var sendErr *engine.SendError
				c.Assert(errors.As(err, &sendErr), qt.IsTrue)
				c.Check(sendErr.NotSent, qt.Equals, test.notSent)
			})
		}
	}
}

// serve starts a server with handler h and returns its URL.
func serve(t *testing.T, h http.HandlerFunc) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}
