package engine

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// FuzzResponse reads arbitrary bytes as the responses on a connection, new or reused. A
// response that is returned must belong to the request, and its body must be bounded.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"", "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nId: mine\r\n\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok", "\x00\xff",
		"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
	} {
		f.Add([]byte(seed), false)
		f.Add([]byte(seed), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, reused bool) {
		transport := NewTransport()
		limit := &limitedReader{r: bytes.NewReader(data), heads: &transport.heads}
		c := &conn{transport: transport, limit: limit, r: bufio.NewReaderSize(limit, readBufferSize)}
		if reused {
			c.sent = append(c.sent, c.hashID("other"))
		}
		c.sent = append(c.sent, c.hashID("mine"))
		resp, err := c.readHead(RawRequest{
			Method: http.MethodGet, ID: "mine", ResponseID: func(h http.Header) string { return h.Get("Id") },
		})
		if err != nil {
			return
		}
		if id := resp.Header.Get("Id"); id != "mine" && (id != "" || reused) {
			t.Fatalf("accepted a response to %q, reused %t", id, reused)
		}
		body, err := transport.ReadBody(resp.Body)
		if err == nil && len(body) > len(data) {
			t.Fatalf("%d bytes of body from %d bytes", len(body), len(data))
		}
		if transport.Stats().BodyBytes != 0 {
			t.Fatal("memory of a body was not released")
		}
	})
}

// FuzzParseEventNumber checks that only whole decimal numbers in range are ids.
func FuzzParseEventNumber(f *testing.F) {
	for _, seed := range []string{"1", " 7\t", "-1", "18446744073709551616", "0x1", ""} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		n := parseEventNumber([]byte(text))
		digits := strings.TrimLeft(strings.TrimSpace(text), "0123456789")
		if n != 0 && digits != "" {
			t.Fatalf("%q was read as %d", text, n)
		}
	})
}
