package frontdoor_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// uploadBytes is the size of a request body that is still being written when an early answer
// ends.
const uploadBytes = 2 << 20

// newUploadServer starts a front end for long uploads whose backend server answers before it
// has read them and leaves the connection to end.
func newUploadServer(t *testing.T, answer string, end func(conn *net.TCPConn)) *testServer {
	limits := testLimits
	limits.MaxBodyBytes = uploadBytes
	return newTestServerWith(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _ := hijack(w)
		defer conn.Close()
		_, _ = io.WriteString(conn, answer)
		end(conn.(*net.TCPConn))
	}, limits)
}

// TestPartOfAnEarlyAnswerIsNotTheWholeAnswer guards against an answer without a length that a
// server begins before it has read the upload, and whose connection it then resets or closes
// with bytes unread.
func TestPartOfAnEarlyAnswerIsNotTheWholeAnswer(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"reset":  func(conn *net.TCPConn) { _ = conn.SetLinger(0) },
		"closed": func(*net.TCPConn) {},
	} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+" "+version, func(t *testing.T) {
				c := qt.New(t)
				server := newUploadServer(t, version+" 200 OK\r\n\r\na part of the whole answer", end)
				resp, body := server.send(c, "POST", "/v1/services/stock/item", strings.Repeat("u", uploadBytes))
				c.Assert(resp.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("%s", body))
				c.Assert(body, qt.Not(qt.Contains), `"ran":"no"`)
			})
		}
	}
}

// TestSoundAnswerBeforeTheUploadIsReadIsWhole covers an answer that ends with its connection
// while the server still reads the upload.
func TestSoundAnswerBeforeTheUploadIsReadIsWhole(t *testing.T) {
	c := qt.New(t)
	server := newUploadServer(t, "HTTP/1.1 200 OK\r\n\r\nanswer", func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	})
	resp, body := server.send(c, "POST", "/v1/services/stock/item", strings.Repeat("u", uploadBytes))
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(body, qt.Equals, "answer")
}
