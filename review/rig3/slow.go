//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["slow"] = slowCase }

// entryMemory is the memory of an entry of the site, in the larger reading of its 284 MB.
const entryMemory = 284 << 20

// slowCase lets clients read large answers slowly. The entries must stay within the memory of
// their machines: the platform kills a process that uses more, and starts it again.
func slowCase(rec *record, trouble bool) (bool, error) {
	size := number("SIZE", 4<<20)
	d, err := newDeployment(rec, deployOptions{replicas: 3, entries: 2})
	if err != nil {
		return false, err
	}
	defer d.stop()
	body := strings.Repeat("x", size)
	for i := range 8 {
		w, err := newWorker(rec, d.controls(), fmt.Sprintf("%s%d", d.prefix, 100+i), "orders", "", 6, func(_ *worker, x *exchange) {
			time.Sleep(20 * time.Millisecond)
			if strings.HasPrefix(x.req.URL.Path, "/list/") {
				x.respond(200, signed(nil), body)
				return
			}
			x.respond(200, signed(nil), "ok")
		})
		if err != nil {
			return false, err
		}
		defer w.stop()
	}
	config := newConfig([]map[string]any{
		route("list", "shop.example", "/list/", "safe", "orders", map[string]any{"TimeoutMs": 30000}),
		route("stock", "shop.example", "/stock/", "safe", "orders", nil),
	}, []map[string]any{plainService("orders")})
	if err := d.start(config); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	p := watchMemory(d, d.entries(), entryMemory)
	ordinary, lists := &tally{}, &tally{}
	load := newLoad()
	load.every(200*time.Millisecond, func(n int) {
		r := &request{method: "GET", host: "shop.example", path: "/stock/1", id: newID(), deadline: 3 * time.Second}
		ordinary.add(r.send(d.entries()[n%2].front()))
	})
	// Each client opens a channel, asks once and reads the answer.
	load.every(30*time.Millisecond, func(n int) {
		res := readList(d.entries()[n%2].front(), trouble)
		lists.add(res)
		rec.printf("list %d at %s: status %d, %d bytes read, err %v", n, d.entries()[n%2].ip, res.status, len(res.body), res.err)
	})
	time.Sleep(60 * time.Second)
	load.stop()
	p.stop()
	rec.printf("ordinary requests: %s; large answers: %s", ordinary, lists)
	over := p.report(entryMemory)
	rec.printf("%d of 2 entries ended three times or more for their memory; the rule allows 1", over)
	return over >= 2, nil
}

// readList asks for a large answer and reads it, at once or 1 KB a second for 20 s.
func readList(address string, slowly bool) (res result) {
	dialer := net.Dialer{Timeout: time.Second}
	if slowly {
		// A slow reader has a small window.
		dialer.Control = func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
		}
	}
	c, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return result{err: err, unconnected: true}
	}
	defer c.Close()
	r := &request{method: "GET", host: "shop.example", path: "/list/1", id: newID(), deadline: 30 * time.Second}
	if _, err := c.Write(r.encode()); err != nil {
		return result{err: err}
	}
	_ = c.SetDeadline(time.Now().Add(25 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 1024), &http.Request{Method: "GET"})
	if err != nil {
		return result{err: err}
	}
	res = result{status: resp.StatusCode, header: resp.Header}
	buf := make([]byte, 1024)
	for began := time.Now(); !slowly || time.Since(began) < 20*time.Second; {
		n, err := resp.Body.Read(buf)
		res.body = append(res.body, buf[:n]...)
		if err == io.EOF {
			return res
		}
		if err != nil {
			res.err = err
			return res
		}
		if slowly {
			time.Sleep(time.Second)
		}
	}
	return res
}
