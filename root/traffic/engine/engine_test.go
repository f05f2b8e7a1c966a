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

// stream serves server-sent events as given, then ends the connection.
func stream(events string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(engine.RequestIDHeader, r.Header.Get(engine.RequestIDHeader))
		fmt.Fprint(w, events)
	}
}

// numbered returns events of request "me" with the given numbers.
func numbered(numbers ...int) string {
	var b strings.Builder
	for _, n := range numbers {
		fmt.Fprintf(&b, "id: me/%d\ndata: %d\n\n", n, n)
	}
	return b.String()
}

const last = "data: [DONE]\n\n"

func TestEventsAreTakenInOrderOnceAndFromTheirOwnRequest(t *testing.T) {
	heartbeats := strings.Repeat(": still here\n\n", 100_000)
	tests := []struct {
		name, events string
		resumeAfter  int
		want         string
		whole        bool
		resumable    bool
	}{
		{"numbered", numbered(1, 2) + "id: me/3\n" + last, 0, "1 2 [DONE]", true, true},
		{"unnumbered", "data: a\n\ndata: b\n\n" + last, 0, "a b [DONE]", true, false},
		{"resumed", numbered(3, 4), 2, "3 4", false, true},
		{"late", numbered(1, 1, 2, 1, 3), 0, "1 2 3", false, true},
		{"restarted from the first event", numbered(1, 2, 3), 2, "3", false, true},
		{"crossed", "id: other/1\ndata: x\n\n" + numbered(1), 0, "1", false, true},
		{"gap", numbered(1, 3), 0, "1", false, true},
		{"bad number", "id: me/x\ndata: x\n\n" + numbered(1), 0, "1", false, true},
		{"resumed without numbers", "data: a\n\n" + last, 1, "", false, false},
		{"numbers end", numbered(1) + "data: b\n\n" + last, 0, "1", false, false},
		{"cut within an event", numbered(1) + "id: me/2\ndata: 2", 0, "1", false, true},
		{"cut before the blank line", numbered(1) + "id: me/2\ndata: 2\n", 0, "1", false, true},
		{"lines and returns", "data: a\r\ndata: b\r\n\r\n" + last, 0, "a\nb [DONE]", true, false},
		{"heartbeats", heartbeats + "data: a\n\n" + last, 0, "a [DONE]", true, false},
		{"event too large", "data: " + strings.Repeat("x", 2<<20) + "\n\n" + last, 0, "", false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			a := do(c, stream(test.events), test.resumeAfter)
			defer a.Close()
			got, whole, err := readAll(a)
			c.Check(strings.Join(got, " "), qt.Equals, test.want)
			c.Check(whole, qt.Equals, test.whole)
			c.Check(err == nil, qt.Equals, test.whole)
			if err != nil {
				c.Check(fault.KindOf(err), qt.Equals, fault.StreamCut)
				c.Check(a.Resumable(), qt.Equals, test.resumable)
			}
		})
	}
}

func do(c *qt.C, h http.HandlerFunc, resumeAfter int) engine.Answer {
	server := httptest.NewServer(h)
	c.Cleanup(server.Close)
	client := engine.NewHTTP()
	c.Cleanup(client.Close)
	a, err := client.Do(c.Context(), fleet.Server{ID: "e", Address: server.URL}, engine.Call{
		RequestID: "me", Method: "POST", Path: "/", Stream: true, ResumeAfter: resumeAfter,
	})
	c.Assert(err, qt.IsNil)
	return a
}

func readAll(a engine.Answer) (got []string, whole bool, err error) {
	for {
		ev, err := a.Next()
		if err != nil {
			return got, false, err
		}
		got = append(got, string(ev.Data))
		if ev.Done {
			return got, true, nil
		}
	}
}

// TestNotSentIsSaidOnlyWhenNoByteWentOut holds the claim that at-most-once
// work rests on.
func TestNotSentIsSaidOnlyWhenNoByteWentOut(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	closed.Close()
	drops := serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	crosses := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(engine.RequestIDHeader, "other") })
	bigHead := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Big", strings.Repeat("x", 1<<20))
	})
	hangs := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		// A server sees that its client has gone once it has read the body.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	tests := []struct {
		name, address string
		notSent       bool
	}{
		{"no listener", "http://" + closed.Addr().String(), true},
		{"bad address", "http://127.0.0.1:bad", true},
		{"connection dropped", drops, false},
		{"answer of another request", crosses, false},
		{"head too large", bigHead, false},
		{"no answer before the deadline", hangs, false},
	}
	for _, test := range tests {
		for _, once := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s once=%t", test.name, once), func(t *testing.T) {
				c := qt.New(t)
				client := engine.NewHTTP()
				defer client.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				defer cancel()
				call := engine.Call{RequestID: "me", Method: "POST", Path: "/", Body: []byte("x"), Once: once}
				_, err := client.Do(ctx, fleet.Server{ID: "e", Address: test.address}, call)
				var send *engine.SendError
				c.Assert(errors.As(err, &send), qt.IsTrue)
				c.Check(send.NotSent, qt.Equals, test.notSent)
			})
		}
	}
}

func serve(t *testing.T, h http.HandlerFunc) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}
