package engine_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// TestPartOfAnEarlyResponseIsNotWhole guards against a response without a length that a
// server begins before it has read the request, and whose connection it then resets or closes
// with bytes unread. The write of the request may receive the error of the reset, or has ended
// before it, and the read of the body sees an orderly end.
func TestPartOfAnEarlyResponseIsNotWhole(t *testing.T) {
	for _, size := range []int{16 << 10, 128 << 10, 2 << 20} {
		for name, linger := range map[string]int{"reset": 0, "closed": -1} {
			t.Run(fmt.Sprintf("%d bytes, %s", size, name), func(t *testing.T) {
				c := qt.New(t)
				address, _ := listen(t, func(_ int, conn net.Conn) {
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: one\r\n\r\npart")
						_ = conn.(*net.TCPConn).SetLinger(linger)
					}
				})
				req := identified("one")
				req.Method, req.Body = http.MethodPost, make([]byte, size)
				body, err := fetch(t, engine.NewTransport(), address, req)
				c.Assert(err, qt.IsNotNil, qt.Commentf("%q", body))
				c.Assert(engine.ClosedByPeer(err), qt.IsTrue, qt.Commentf("%v", err))
			})
		}
	}
}
