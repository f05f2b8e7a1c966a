package orders

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// TestBrokenAnswerSettlesNoOrder guards against orders that a malformed response settles as
// applied or rejected, while the server may do otherwise.
func TestBrokenAnswerSettlesNoOrder(t *testing.T) {
	for name, answer := range map[string]string{
		"applied, name with a blank":    "HTTP/1.1 200 OK\r\nServer text: x\r\nContent-Length: 2\r\n\r\n{}",
		"applied, length with a blank":  "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
		"rejected, name with a blank":   "HTTP/1.1 409 Conflict\r\nServer text: x\r\nContent-Length: 0\r\n\r\n",
		"rejected, chunks in HTTP/1.0":  "HTTP/1.0 409 Conflict\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"rejected after status 000":     "HTTP/1.1 000 None\r\n\r\nHTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
		"rejected after a switch":       "HTTP/1.1 101 Text\r\n\r\nHTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
		"applied, cut before its end":   "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}",
		"no answer but bytes like text": "servertext\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer ln.Close()
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = io.WriteString(conn, answer)
				}
			}()
			s := New(nil, logr.Discard())
			var uncertainAt time.Time
			_, err = s.attempt(t.Context(), machine.IssueOrder{
				Server: fleet.Server{ID: "engine-1", Address: "http://" + ln.Addr().String()}, Fence: 4,
				Order: authority.Order{Fence: 4, Action: authority.Action{Kind: authority.ChangeRole, Role: fleet.Prefill}},
			}, &uncertainAt)
			c.Assert(err, qt.IsNotNil)
			c.Assert(err.Error(), qt.Not(qt.Contains), "text")
			c.Assert(uncertainAt.IsZero(), qt.IsFalse)
		})
	}
}
