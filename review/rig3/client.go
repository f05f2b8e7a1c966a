//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// request is one request of a client, on a channel of its own.
type request struct {
	method, host, path string
	id                 string
	headers            map[string]string
	body               []byte
	deadline           time.Duration
}

// result is what the client saw. Without an answer the status is 0.
type result struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
	// unconnected is set if the channel could not be opened.
	unconnected bool
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (r *request) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nWagtaildyke-Request-Id: %s\r\n", r.method, r.path, r.host, r.id)
	if r.deadline > 0 {
		fmt.Fprintf(&b, "Wagtaildyke-Deadline-Ms: %d\r\n", r.deadline.Milliseconds())
	}
	for k, v := range r.headers {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	b.Write(r.body)
	return b.Bytes()
}

// send sends a request and reads the whole answer.
func (r *request) send(address string) (res result) {
	began := time.Now()
	defer func() { res.took = time.Since(began) }()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return result{err: err, unconnected: true}
	}
	defer c.Close()
	_ = c.SetDeadline(began.Add(r.deadline + 500*time.Millisecond))
	if _, err := c.Write(r.encode()); err != nil {
		return result{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: r.method})
	if err != nil {
		return result{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, header: resp.Header, body: body, err: err}
}
