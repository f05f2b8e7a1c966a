package frontdoor_test

import (
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAnswerWithABrokenHeadReachesNoCaller guards against a status that does not exist and
// against malformed names of fields. The caller must not be told that the request did not run.
func TestAnswerWithABrokenHeadReachesNoCaller(t *testing.T) {
	const second = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nservertext"
	for name, answer := range map[string]string{
		"status 000":        "HTTP/1.1 000 None\r\n\r\n" + second,
		"name with a blank": "HTTP/1.1 200 OK\r\nServer text: x\r\nContent-Length: 10\r\n\r\nservertext",
		"length, blank":     "HTTP/1.1 200 OK\r\nContent-Length : 6\r\n\r\nservertext",
		"refusal":           "HTTP/1.1 503 Full\r\nWagtaildyke-Ran: no\r\nServer text: x\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
				conn, _ := hijack(w)
				defer conn.Close()
				_, _ = io.WriteString(conn, answer)
			})
			resp, body := server.send(c, "GET", "/v1/services/stock/item", "")
			c.Check(resp.StatusCode, qt.Equals, http.StatusBadGateway)
			c.Check(body, qt.Not(qt.Contains), "text")
			c.Check(body, qt.Not(qt.Contains), `"ran":"no"`)
		})
	}
}
