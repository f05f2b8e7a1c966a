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
)

// scripted serves connections by a function and counts them.
func scripted(t *testing.T, serve func(n int, c net.Conn)) (address string, connections *atomic.Int32) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { ln.Close() })
	var count atomic.Int32
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n := int(count.Add(1))
			go func() {
				defer c.Close()
				serve(n, c)
			}()
		}
	}()
	return ln.Addr().String(), &count
}

// answerAll answers every request of a connection with the same bytes.
func answerAll(answer string) func(int, net.Conn) {
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
			if _, err := io.WriteString(c, answer); err != nil {
				return
			}
		}
	}
}

func get(target string) engine.Outgoing {
	return engine.Outgoing{Method: http.MethodGet, Target: target, Host: "h", Header: http.Header{}}
}

func fetch(t *testing.T, tr *engine.Transport, address string, out engine.Outgoing) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	resp, err := tr.Do(ctx, address, 0, out)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

const keptAnswer = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"

func TestAKeptConnectionIsUsedAgain(t *testing.T) {
	c := qt.New(t)
	address, count := scripted(t, answerAll(keptAnswer))
	tr := engine.NewTransport()
	for range 3 {
		body, err := fetch(t, tr, address, get("/"))
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "ok")
	}
	c.Assert(count.Load(), qt.Equals, int32(1))
}

func TestAConnectionIsNotKept(t *testing.T) {
	for name, answer := range map[string]string{
		"after Connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"with bytes left over":    keptAnswer + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
		"past its idle time":      "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, count := scripted(t, answerAll(answer))
			tr := engine.NewTransport()
			for range 2 {
				body, err := fetch(t, tr, address, get("/"))
				c.Assert(err, qt.IsNil)
				c.Assert(body, qt.Equals, "ok")
				// Bytes sent after the answer arrive before the next request.
				time.Sleep(20 * time.Millisecond)
			}
			c.Assert(count.Load(), qt.Equals, int32(2))
		})
	}
}

// TestARequestIsSentOnce breaks a connection after the request was read: the
// transport neither sends it again nor says that it was not sent.
func TestARequestIsSentOnce(t *testing.T) {
	c := qt.New(t)
	var requests atomic.Int32
	address, _ := scripted(t, func(n int, conn net.Conn) {
		r := bufio.NewReader(conn)
		if n == 1 {
			if _, err := http.ReadRequest(r); err == nil {
				io.WriteString(conn, keptAnswer)
			}
		}
		if _, err := http.ReadRequest(r); err == nil {
			requests.Add(1)
		}
	})
	tr := engine.NewTransport()
	_, err := fetch(t, tr, address, get("/first"))
	c.Assert(err, qt.IsNil)
	_, err = fetch(t, tr, address, get("/second"))
	var send *engine.SendError
	c.Assert(errors.As(err, &send), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(send.NotSent, qt.IsFalse)
	c.Assert(requests.Load(), qt.Equals, int32(1))
}

func TestARefusedConnectionIsNotSent(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := ln.Addr().String()
	ln.Close()
	_, err = fetch(t, engine.NewTransport(), address, get("/"))
	var send *engine.SendError
	c.Assert(errors.As(err, &send), qt.IsTrue)
	c.Assert(send.NotSent, qt.IsTrue)
}

// TestALateAnswerToAnotherRequestIsSkipped puts an answer with another id before
// the right one.
func TestALateAnswerToAnotherRequestIsSkipped(t *testing.T) {
	c := qt.New(t)
	late := "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nlate"
	right := "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"
	address, _ := scripted(t, answerAll(late+right))
	out := get("/")
	out.Answers = func(h http.Header) bool { return h.Get("Id") == "mine" }
	body, err := fetch(t, engine.NewTransport(), address, out)
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "ok")
}

func TestTheBoundOnConnectionsIsKept(t *testing.T) {
	c := qt.New(t)
	hold := make(chan struct{})
	defer close(hold)
	address, _ := scripted(t, func(_ int, conn net.Conn) { <-hold })
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
	var send *engine.SendError
	c.Assert(errors.As(err, &send), qt.IsTrue)
	c.Assert(send.NotSent, qt.IsTrue)
	cancel()
	<-done
}

func TestAnAnswerMayComeBeforeALongBodyWasRead(t *testing.T) {
	c := qt.New(t)
	address, _ := scripted(t, func(_ int, conn net.Conn) {
		r := bufio.NewReader(conn)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
		io.Copy(io.Discard, r)
	})
	out := engine.Outgoing{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 8<<20)}
	body, err := fetch(t, engine.NewTransport(), address, out)
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "no")
}

func TestVerbatimEventsKeepTheirBytes(t *testing.T) {
	c := qt.New(t)
	text := "id: 1\ndata: a\n\nwagtaildyke-weight-versions: 2\nid:2\r\ndata: b\r\n\r\n: note\n\n"
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

func TestAPartialEventIsNoEvent(t *testing.T) {
	c := qt.New(t)
	r := engine.NewVerbatimReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b"))
	_, err := r.Next()
	c.Assert(err, qt.IsNil)
	_, err = r.Next()
	c.Assert(err, qt.Not(qt.IsNil))
	c.Assert(err, qt.Not(qt.Equals), io.EOF)
}
