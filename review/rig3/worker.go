//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in of a backend server. It serves one request at a time on a connection.
type worker struct {
	rec      *record
	service  string
	address  string
	zone     string
	stage    string // empty for a plain server
	slots    int
	controls []string
	// idleTime is how long a channel may be idle; 0 for no limit.
	idleTime time.Duration
	// answer serves a request. It may write to the connection itself.
	answer func(w *worker, c *exchange)

	mu       sync.Mutex
	id       string
	born     int64
	up       bool
	listener net.Listener
	conns    map[net.Conn]bool
	boots    int
	sequence atomic.Int64
	running  atomic.Int64
	crashes  int
	leaving  bool
	stopped  chan struct{}
}

// exchange is one request at a worker.
type exchange struct {
	w    *worker
	conn net.Conn
	req  *http.Request
	body []byte
	id   string
	at   time.Time
	// closed is set by the answer to end the connection.
	closed bool
}

func newWorker(rec *record, controls []string, ip, service, stage string, slots int, answer func(*worker, *exchange)) (*worker, error) {
	w := &worker{
		rec: rec, service: service, zone: "zone-0", stage: stage, slots: slots, controls: controls, answer: answer,
		conns: map[net.Conn]bool{}, stopped: make(chan struct{}),
	}
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, notRun("%v", err)
	}
	w.address = ln.Addr().String()
	w.boot(ln)
	go w.beat()
	return w, nil
}

// boot starts the worker with a new id.
func (w *worker) boot(ln net.Listener) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boots++
	w.id = fmt.Sprintf("i-%s-%d", strings.NewReplacer(".", "", ":", "").Replace(w.address), w.boots)
	w.born = time.Now().UnixMilli()
	w.listener, w.up = ln, true
	w.sequence.Store(0)
	go w.accept(ln)
}

// crash ends the worker as a process that dies does, and starts it again after a time.
func (w *worker) crash(down time.Duration) {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	w.crashes++
	w.listener.Close()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
	w.conns = map[net.Conn]bool{}
	w.mu.Unlock()
	w.rec.printf("worker %s crashed", w.id)
	time.AfterFunc(down, func() {
		for {
			select {
			case <-w.stopped:
				return
			default:
			}
			ln, err := net.Listen("tcp", w.address)
			if err == nil {
				w.boot(ln)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// leave drains the worker and ends it, as one that is replaced: it says that it is draining,
// serves on for a time after the answer, deregisters and exits.
func (w *worker) leave() {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	client := &http.Client{Timeout: time.Second}
	id, born, _ := w.identity()
	for i := 0; !w.heartbeat(client, id, born, i) && i < 20; i++ {
		time.Sleep(100 * time.Millisecond)
	}
	w.rec.printf("worker %s is draining", id)
	time.Sleep(drainTimeout + 300*time.Millisecond)
	for _, at := range w.controls {
		resp, err := client.Post("http://"+at+"/wagtaildyke/Instances.Deregister/"+id, "application/json", strings.NewReader(fmt.Sprintf(`{"born":%d}`, born)))
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			break
		}
	}
	w.rec.printf("worker %s exits", id)
	w.stop()
}

// drainTimeout is DrainTimeoutMs of the site.
const drainTimeout = 2 * time.Second

func (w *worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

func (w *worker) stop() {
	select {
	case <-w.stopped:
		return
	default:
	}
	close(w.stopped)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listener.Close()
	for c := range w.conns {
		c.Close()
	}
}

func (w *worker) identity() (id string, born int64, up bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id, w.born, w.up
}

// beat sends heartbeats while the worker is up.
func (w *worker) beat() {
	client := &http.Client{Timeout: time.Second}
	for i := 0; ; i++ {
		if id, born, up := w.identity(); up {
			w.heartbeat(client, id, born, i)
		}
		select {
		case <-w.stopped:
			return
		case <-time.After(600 * time.Millisecond):
		}
	}
}

// heartbeat reports whether it was acknowledged.
func (w *worker) heartbeat(client *http.Client, id string, born int64, i int) bool {
	body := map[string]any{
		"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": w.slots, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": w.sequence.Add(1), "born": born,
	}
	if w.isLeaving() {
		body["State"] = "draining"
	}
	if w.stage != "" {
		body["Stage"], body["Models"] = w.stage, []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}}
	}
	data, _ := json.Marshal(body)
	for k := range w.controls {
		resp, err := client.Post("http://"+w.controls[(i+k)%len(w.controls)]+"/wagtaildyke/Instances.Heartbeat/"+id, "application/json", bytes.NewReader(data))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}

func (w *worker) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		if w.listener != ln || !w.up {
			w.mu.Unlock()
			c.Close()
			continue
		}
		w.conns[c] = true
		w.mu.Unlock()
		go w.serve(c)
	}
}

func (w *worker) serve(c net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		if w.idleTime > 0 {
			_ = c.SetReadDeadline(time.Now().Add(w.idleTime))
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		x := &exchange{w: w, conn: c, req: req, body: body, id: req.Header.Get("Wagtaildyke-Request-Id"), at: time.Now()}
		id, _, _ := w.identity()
		if want := req.Header.Get("Wagtaildyke-Expect-Instance"); want != "" && want != id {
			x.respond(421, nil, "")
			continue
		}
		w.running.Add(1)
		w.answer(w, x)
		w.running.Add(-1)
		if x.closed {
			return
		}
	}
}

// head returns the head of a response with the fields that each response has.
func (x *exchange) head(status int, fields map[string]string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nWagtaildyke-Request-Id: %s\r\n", status, http.StatusText(status), x.id)
	for k, v := range fields {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	switch {
	case x.w.isLeaving():
		b.WriteString("Connection: close\r\n")
		x.closed = true
	case x.w.idleTime > 0:
		fmt.Fprintf(&b, "Keep-Alive: timeout=%d\r\n", int(x.w.idleTime.Seconds()))
	}
	return b.Bytes()
}

func signed(fields map[string]string) map[string]string {
	out := map[string]string{"Wagtaildyke-Response-Signature": "3e1b.07.5a2.600.0.c9f2a4d1"}
	for k, v := range fields {
		out[k] = v
	}
	return out
}

// respond sends a response with a length.
func (x *exchange) respond(status int, fields map[string]string, body string) {
	b := append(x.head(status, fields), fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))...)
	_, _ = x.conn.Write(append(b, body...))
}

// refuse says that the request was not run.
func (x *exchange) refuse(status int, fields map[string]string) {
	out := map[string]string{"Wagtaildyke-Not-Executed": "1"}
	for k, v := range fields {
		out[k] = v
	}
	x.respond(status, out, "")
}

// beginStream sends the head of a stream in chunks.
func (x *exchange) beginStream(fields map[string]string) {
	f := signed(fields)
	f["Content-Type"], f["Transfer-Encoding"] = "text/event-stream", "chunked"
	_, _ = x.conn.Write(append(x.head(200, f), "\r\n"...))
}

func (x *exchange) event(n int, data string) error {
	ev := "id: " + strconv.Itoa(n) + "\ndata: " + data + "\n\n"
	_, err := fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(ev), ev)
	return err
}

func (x *exchange) endStream() { _, _ = io.WriteString(x.conn, "0\r\n\r\n") }
