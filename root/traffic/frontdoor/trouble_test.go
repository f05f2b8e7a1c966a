package frontdoor_test

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

	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// hijack takes over the connection of a request to a backend server.
func hijack(w http.ResponseWriter) (net.Conn, *bufio.Reader) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	return conn, buffered.Reader
}

func rawAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", engine.RequestIDHeader, id, len(body), body)
}

// TestCallersGetNoLateCopies repeats each answer late, just before the answer to the next
// request on the connection.
func TestCallersGetNoLateCopies(t *testing.T) {
	c := qt.New(t)
	server := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		conn, requests := hijack(w)
		defer conn.Close()
		last := ""
		for {
			answer := rawAnswer(r.Header.Get(engine.RequestIDHeader), "for "+r.URL.Path)
			if _, err := io.WriteString(conn, last+answer); err != nil {
				return
			}
			last = answer
			var err error
			if r, err = http.ReadRequest(requests); err != nil {
				return
			}
		}
	})
	server.distinctIDs = true
	for i := range 10 {
		path := fmt.Sprintf("/item-%d", i)
		resp, body := server.send(c, "GET", "/v1/services/stock"+path, "")
		c.Assert(resp.StatusCode, qt.Equals, 200)
		c.Assert(body, qt.Equals, "for "+path)
	}
}

// TestBytesThatAreNoAnswerGiveAnHonestFailure sends bytes without end in place of an
// answer.
func TestBytesThatAreNoAnswerGiveAnHonestFailure(t *testing.T) {
	noise := strings.Repeat("x", 64<<10)
	for name, begin := range map[string]string{
		"noise":       "",
		"head":        "HTTP/1.1 200 OK\r\nX: ",
		"body":        "HTTP/1.1 200 OK\r\n\r\n",
		"event":       "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ",
		"chunk sizes": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
				conn, _ := hijack(w)
				defer conn.Close()
				for text := begin; ; text = noise {
					if _, err := io.WriteString(conn, text); err != nil {
						return
					}
				}
			})
			body := `{"model":"assistant","stream":true}`
			began := time.Now()
			resp, text := server.send(c, "POST", "/v1/completions", body, "Wagtaildyke-Deadline-Ms", "5000")
			c.Check(time.Since(began) < 10*time.Second, qt.IsTrue)
			c.Check(text, qt.Contains, `"kind":`)
			c.Check(strings.Contains(text, `"ran":"no"`), qt.IsFalse, qt.Commentf("%d %s", resp.StatusCode, text))
		})
	}
}

// TestSlowStreamIsWholeAndStalledOneEnds serves a stream with pauses between its events
// beside one that sends a byte of an event now and then.
func TestSlowStreamIsWholeAndStalledOneEnds(t *testing.T) {
	c := qt.New(t)
	server := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		flush := func(text string) bool {
			_, err := io.WriteString(w, text)
			return err == nil && http.NewResponseController(w).Flush() == nil
		}
		flush("data: first\n\n")
		if strings.Contains(string(body), "slow") {
			for range 3 {
				time.Sleep(400 * time.Millisecond)
				flush("data: next\n\n")
			}
			flush("data: [DONE]\n\n")
			return
		}
		for flush("x") && r.Context().Err() == nil {
			time.Sleep(100 * time.Millisecond)
		}
	})
	var calls sync.WaitGroup
	request := func(prompt string) string {
		return fmt.Sprintf(`{"model":"assistant","stream":true,"prompt":%q}`, prompt)
	}
	calls.Go(func() {
		_, text := server.send(c, "POST", "/v1/completions", request("slow"))
		c.Check(strings.Count(text, "data: next"), qt.Equals, 3)
		c.Check(text, qt.Contains, "[DONE]")
	})
	calls.Go(func() {
		began := time.Now()
		_, text := server.send(c, "POST", "/v1/completions", request("stalled"), "Wagtaildyke-Deadline-Ms", "1000")
		c.Check(time.Since(began) < 3*time.Second, qt.IsTrue)
		c.Check(text, qt.Contains, "event: error")
		c.Check(strings.Contains(text, "[DONE]"), qt.IsFalse)
	})
	calls.Wait()
}

// TestAnswerCutWithinItsHeadIsNoSuccess cuts the heads of answers at each byte.
func TestAnswerCutWithinItsHeadIsNoSuccess(t *testing.T) {
	for name, fields := range map[string]string{
		"plain":   "Content-Length: 12\r\n\r\n",
		"chunked": "Transfer-Encoding: chunked\r\n\r\n",
		"stream":  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"bare":    "Content-Type: application/json\r\n",
	} {
		for ending, linger := range map[string]int{"FIN": -1, "RST": 0} {
			t.Run(name+" "+ending, func(t *testing.T) {
				c := qt.New(t)
				head := "HTTP/1.1 200 OK\r\n" + engine.RequestIDHeader + ": 0123456789abcdef\r\n" + fields
				for n := range len(head) + 1 {
					var reached atomic.Bool
					server := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
						reached.Store(true)
						conn, _ := hijack(w)
						_, _ = io.WriteString(conn, head[:n])
						_ = conn.(*net.TCPConn).SetLinger(linger)
						conn.Close()
					})
					body := `{"model":"assistant","stream":true}`
					resp, text := server.send(c, "POST", "/v1/completions", body)
					c.Check(resp.StatusCode >= 500 || strings.Contains(text, "event: error\n"), qt.IsTrue, qt.Commentf("%q gave %d %s", head[:n], resp.StatusCode, text))
					c.Check(strings.Contains(text, `"ran":"no"`), qt.Equals, !reached.Load(), qt.Commentf("%q gave %s", head[:n], text))
				}
			})
		}
	}
}

func TestUnframedAnswerIsWholeOnlyIfItsConnectionEndsInOrder(t *testing.T) {
	plain, stream := "HTTP/1.1 200 OK\r\n\r\nanswer", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n"
	for name, tc := range map[string]struct {
		answer string
		linger int
		whole  bool
	}{
		"plain":                 {plain, -1, true},
		"plain over HTTP/1.0":   {strings.Replace(plain, "1.1", "1.0", 1), -1, true},
		"plain, reset":          {plain, 0, false},
		"stream":                {stream + "data: [DONE]\n\n", -1, true},
		"stream without an end": {stream, -1, false},
		"stream, cut":           {stream + "data: b\n", -1, false},
		"stream, reset":         {stream, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
				conn, _ := hijack(w)
				_, _ = io.WriteString(conn, tc.answer)
				_ = conn.(*net.TCPConn).SetLinger(tc.linger)
				conn.Close()
			})
			resp, text := server.send(c, "POST", "/v1/completions", `{"model":"assistant","stream":true}`)
			failed := resp.StatusCode >= 500 || strings.Contains(text, "event: error\n")
			c.Check(failed, qt.Equals, !tc.whole, qt.Commentf("%d %s", resp.StatusCode, text))
			c.Check(strings.Contains(text, `"ran":"no"`), qt.IsFalse, qt.Commentf("%s", text))
		})
	}
}
