package engine

import (
	"bufio"
	"bytes"
	"net/http"
	"regexp"
	"strings"
	"testing"
)

// checkAcceptedHeads fails the test if text, which consists of the heads of interim responses
// and of the response that was returned, breaks the grammar of HTTP/1.1.
func checkAcceptedHeads(t *testing.T, text string) {
	field := regexp.MustCompile("^[-!#$%&'*+.^_`|~0-9A-Za-z]+:[^\\x00-\\x08\\x0a-\\x1f\\x7f]*$")
	status := regexp.MustCompile(`^HTTP/1\.[0-9] +[1-5][0-9][0-9]( [^\x00-\x08\x0a-\x1f\x7f]*)?$`)
	begins, old, encoded, length := true, false, false, false
	for line := range strings.Lines(text) {
		line = strings.TrimRight(strings.TrimSuffix(line, "\n"), "\r")
		folded := strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t")
		switch {
		case begins && !status.MatchString(line):
			t.Fatalf("accepted the status line %q", line)
		case !begins && line != "" && !folded && !field.MatchString(line):
			t.Fatalf("accepted the field %q", line)
		}
		lower := strings.ToLower(line)
		if begins {
			old, encoded, length = strings.HasPrefix(line, "HTTP/1.0"), false, false
		}
		encoded = encoded || strings.HasPrefix(lower, "transfer-encoding:")
		length = length || strings.HasPrefix(lower, "content-length:")
		if encoded && (length || old) {
			t.Fatalf("accepted contradictory framing in %q", text)
		}
		begins = line == ""
	}
}

// FuzzResponse reads arbitrary bytes as the responses on a connection, new or reused. A
// response that is returned must belong to the request, its head must be well-formed, as must
// be those of interim responses before it, and its body must be bounded.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"", "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nId: mine\r\n\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok", "\x00\xff",
		"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"HTTP/1.1 000 No\r\n\r\nHTTP/1.1 200 OK\r\nId: mine\r\n\r\nok", "HTTP/1.1 101 Go\r\n\r\nHTTP/1.1 200 OK\r\nId: mine\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length : 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nId: mine\r\nA\x01b: c\r\n d\r\n\r\nok",
		"HTTP/1.0 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\nA b: c\r\n\r\n",
	} {
		f.Add([]byte(seed), false)
		f.Add([]byte(seed), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, reused bool) {
		transport := NewTransport()
		unread := bytes.NewReader(data)
		limit := &limitedReader{r: unread, heads: &transport.heads}
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
		if !reused {
			checkAcceptedHeads(t, string(data[:len(data)-unread.Len()-c.r.Buffered()]))
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
