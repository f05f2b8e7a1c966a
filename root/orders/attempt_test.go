package orders

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// TestRejectedOrderSettlesAfterTheLateEffectLimit aborts the first attempt of an order and
// rejects all later ones. Rejections must not extend the time in which the first attempt
// may take effect.
func TestRejectedOrderSettlesAfterTheLateEffectLimit(t *testing.T) {
	c := qt.New(t)
	var posts atomic.Int32
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodGet:
			_, _ = w.Write([]byte(`{"fence":4,"role":"decode"}`))
		case posts.Add(1) == 1:
			panic(http.ErrAbortHandler)
		default:
			w.WriteHeader(http.StatusConflict)
		}
	}))
	t.Cleanup(engine.Close)
	s := New(func(machine.OrderDone) {}, logr.Discard())
	order := machine.IssueOrder{
		Server: fleet.Server{ID: "engine-1", Address: engine.URL}, Fence: 4,
		Order: authority.Order{Fence: 4, Action: authority.Action{Kind: authority.ChangeRole, Role: fleet.Prefill}},
	}
	var uncertainAt time.Time
	_, err := s.attempt(t.Context(), order, &uncertainAt)
	c.Assert(err, qt.IsNotNil)
	c.Assert(uncertainAt.IsZero(), qt.IsFalse)
	first := uncertainAt
	for range 3 {
		_, err = s.attempt(t.Context(), order, &uncertainAt)
		c.Assert(errors.Is(err, errMayTakeEffect), qt.IsTrue)
		c.Assert(uncertainAt, qt.Equals, first)
	}
	uncertainAt = first.Add(-lateEffectLimit)
	done, err := s.attempt(t.Context(), order, &uncertainAt)
	c.Assert(err, qt.IsNil)
	c.Assert(done.Applied, qt.IsFalse)
}

// TestEndlessHeadIsNotReadOn guards against a backend server that answers an order with a
// head without end, all of which was kept until it had 10 MB.
func TestEndlessHeadIsNotReadOn(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	var sent atomic.Int64
	ended := make(chan struct{})
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer close(ended)
		defer conn.Close()
		text := "HTTP/1.1 200 OK\r\nX: "
		for err == nil {
			var n int
			n, err = io.WriteString(conn, text)
			sent.Add(int64(n))
			text = strings.Repeat("x", 4<<10)
		}
	}()
	s := New(nil, logr.Discard())
	_, err = s.observe(t.Context(), machine.IssueOrder{Server: fleet.Server{Address: "http://" + ln.Addr().String()}})
	c.Assert(err, qt.IsNotNil)
	<-ended
	// The head, and what the sockets buffer.
	c.Assert(sent.Load() < 8<<20, qt.IsTrue, qt.Commentf("%d bytes", sent.Load()))
}
