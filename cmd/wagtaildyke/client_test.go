package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/standin"
)

// TestAnswerWithoutALengthMayBeCut guards against a part of a daemon's answer, such as of the
// table, that is taken for the whole.
func TestAnswerWithoutALengthMayBeCut(t *testing.T) {
	for name, head := range map[string]string{
		"HTTP/1.1":            "HTTP/1.1 200 OK\r\n",
		"HTTP/1.0":            "HTTP/1.0 200 OK\r\n",
		"length with a blank": "HTTP/1.1 200 OK\r\nContent-Length : 100\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server, err := standin.NewRawServer(func(_ int, conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, head+"\r\na,part")
				}
			})
			c.Assert(err, qt.IsNil)
			defer server.Close()
			cl := &client{base: "http://" + server.Address()}
			_, err = cl.do(t.Context(), call{method: http.MethodGet, path: "/v1/table"})
			c.Assert(fault.Is(err, fault.Unavailable), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(fault.From(err).Ran, qt.Equals, fault.RanUnknown)
		})
	}
}
