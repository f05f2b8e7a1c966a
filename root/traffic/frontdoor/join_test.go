package frontdoor_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

const requestID = "0123456789abcdef"

// publishTwo publishes a view with two servers, both of which are the backend.
func (s *testServer) publishTwo() {
	v := &view.View{
		Term: 1, Seq: 2, LeaseUntil: time.Now().Add(time.Hour),
		Table: table.Table{Classes: []table.Class{
			{Name: "short", Weight: 1, Queue: 8, Deadline: time.Minute, Targets: []string{"assistant"}, Idempotent: true},
		}},
	}
	for n := range 2 {
		v.Servers = append(v.Servers, fleet.Server{ID: fmt.Sprintf("server-%d", n), Address: s.backend.URL, Targets: []string{"assistant"}, Slots: 8})
	}
	s.views.Publish(v)
}

// streamRaw requests a stream on a connection of its own, reads that to its end, and
// returns the body, and whether its framing says that it is complete.
func streamRaw(c *qt.C, s *testServer) (body string, whole bool) {
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	request := `{"model":"assistant","stream":true}`
	fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(request), request)
	raw, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
	c.Assert(err, qt.IsNil, qt.Commentf("%q", raw))
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	data, err := io.ReadAll(resp.Body)
	return string(data), err == nil
}

// numbered returns one chunk for each event; the events are numbered from first.
func numbered(first int, data ...string) string {
	var b strings.Builder
	for i, text := range data {
		event := fmt.Sprintf("id: %s/%d\ndata: %s\n\n", requestID, first+i, text)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(event), event)
	}
	return b.String()
}

// TestBrokenStreamIsContinuedByItsRestOnly breaks a stream off after two events.
func TestBrokenStreamIsContinuedByItsRestOnly(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + engine.RequestIDHeader + ": " + requestID + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	const lastChunk = "0\r\n\r\n"
	broken := head + numbered(1, "a", "b")
	answer := func(status, fields, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, engine.RequestIDHeader, requestID, fields, len(body), body)
	}
	for name, tc := range map[string]struct {
		second string
		want   []string
	}{
		"resumed":                      {head + numbered(3, "c", "[DONE]") + lastChunk, []string{"a", "b", "c", "[DONE]"}},
		"restarted":                    {head + numbered(1, "a", "b", "c", "[DONE]") + lastChunk, []string{"a", "b", "c", "[DONE]"}},
		"restarted with other events":  {head + numbered(1, "x", "y", "z", "[DONE]") + lastChunk, []string{"a", "b"}},
		"restarted and ended too soon": {head + numbered(1, "a", "[DONE]") + lastChunk, []string{"a", "b"}},
		"resumed after a gap":          {head + numbered(4, "d", "[DONE]") + lastChunk, []string{"a", "b"}},
		"ended without its last event": {head + numbered(3, "c") + lastChunk, []string{"a", "b", "c"}},
		"an error":                     {answer("500 Internal Server Error", "", "servertext"), []string{"a", "b"}},
		"a refusal":                    {answer("503 Service Unavailable", engine.RanHeader+": no\r\n", "servertext"), []string{"a", "b"}},
		"an answer that is no stream":  {answer("200 OK", "", "servertext"), []string{"a", "b"}},
		"half a head":                  {head[:40], []string{"a", "b"}},
		"a line of noise":              {"servertext\n", []string{"a", "b"}},
		"noise in a head":              {"HTTP/1.1 200 OK\r\nservertext\r\n\r\n", []string{"a", "b"}},
		"noise in a trailer":           {head + "0\r\nservertext\r\n\r\n", []string{"a", "b"}},
		"noise":                        {"servertext", []string{"a", "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var attempts atomic.Int32
			server := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
				conn, _ := hijack(w)
				defer conn.Close()
				text := tc.second
				if attempts.Add(1) == 1 {
					text = broken
				}
				_, _ = io.WriteString(conn, text)
			})
			server.publishTwo()
			body, whole := streamRaw(c, server)
			events, failure, _ := strings.Cut(body, "event: error\n")
			c.Assert(events, qt.Equals, "data: "+strings.Join(tc.want, "\n\ndata: ")+"\n\n")
			complete := tc.want[len(tc.want)-1] == "[DONE]"
			c.Check(whole, qt.Equals, complete)
			c.Check(failure == "", qt.Equals, complete)
			c.Check(failure, qt.Not(qt.Contains), "servertext")
		})
	}
}
