//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in for a worker of a plain service. It answers every request with 200,
// registers with a heartbeat about once in HeartbeatMs, and says when it leaves.
type worker struct {
	c       *cluster
	id      string
	service string
	address string
	born    int64
	server  *http.Server

	mu       sync.Mutex
	sequence int
	state    string
	leaving  bool
	beating  bool
	runs     []run
	// at is the daemon that acknowledged the last call.
	at int
}

// run is a request that a worker has run.
type run struct {
	id, path string
	at       time.Time
}

// addWorker starts a worker that registers at once.
func (c *cluster) addWorker(service string) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.workers) + 1
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.%d:0", c.net, n))
	if err != nil {
		fail("%v", err)
	}
	w := &worker{
		c: c, id: fmt.Sprintf("i-%08x%02x", rand.Uint32(), n), service: service, address: l.Addr().String(),
		born: time.Now().UnixMilli(), state: "ready", beating: true, at: n,
	}
	w.server = &http.Server{Handler: w, IdleTimeout: 5 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	go w.beat()
	c.workers = append(c.workers, w)
	c.rec.note("worker %s of service %s at %s", w.id, service, w.address)
	return w
}

func (w *worker) stop() { _ = w.server.Close() }

// ServeHTTP runs a request.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	leaving := w.leaving
	w.mu.Unlock()
	h := rw.Header()
	h.Set("Wagtaildyke-Instance-Id", w.id)
	if leaving {
		// A worker that leaves says so in all its answers.
		h.Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		if leaving {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Wagtaildyke-Request-Id")
	h.Set("Wagtaildyke-Request-Id", id)
	h.Set("Keep-Alive", "timeout=5")
	if expected := r.Header.Get("Wagtaildyke-Expect-Instance"); expected != "" && expected != w.id {
		w.c.rec.log("worker %s: request %s for %s refused with 421", w.id, id, expected)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.mu.Lock()
	w.runs = append(w.runs, run{id, r.URL.Path, time.Now()})
	w.mu.Unlock()
	w.c.rec.log("worker %s (%s): runs %s %s %s", w.id, w.service, r.Method, r.URL.Path, id)
	h.Set("Wagtaildyke-Response-Signature", "sig-"+id+"-"+w.id)
	_, _ = io.WriteString(rw, "done by "+w.id+"\n")
}

// body returns the body of a heartbeat with the next sequence number.
func (w *worker) body() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	return map[string]any{
		"Service": w.service, "Address": w.address, "Zone": "zone-1", "Version": "v1", "Slots": 6,
		"State": w.state, "ColdRemainingMs": 0, "Sequence": w.sequence, "born": w.born,
	}
}

func (w *worker) heartbeatPath() string  { return "/wagtaildyke/Instances.Heartbeat/" + w.id }
func (w *worker) deregisterPath() string { return "/wagtaildyke/Instances.Deregister/" + w.id }

// beat registers until the worker has deregistered.
func (w *worker) beat() {
	for {
		w.mu.Lock()
		beating := w.beating
		w.mu.Unlock()
		if !beating {
			return
		}
		w.tell(w.heartbeatPath(), w.body())
		select {
		case <-w.c.done:
			return
		case <-time.After(heartbeat - 100*time.Millisecond + rand.N(200*time.Millisecond)):
		}
	}
}

// tell sends a call to one daemon after the other until one acknowledges it, and returns
// that daemon; nil if none does.
func (w *worker) tell(path string, body map[string]any) *daemon {
	replicas := w.c.replicas()
	for range replicas {
		d := replicas[w.at%len(replicas)]
		if status, _ := d.call(http.MethodPost, path, body); status/100 == 2 {
			return d
		}
		w.at++
	}
	return nil
}

// quiet ends the heartbeats, as before a deregistration.
func (w *worker) quiet() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beating = false
}

// deregister sends a deregistration to one daemon after the other, and returns the time of
// the ack and the daemon that gave it. The worker goes on serving.
func (w *worker) deregister() (time.Time, *daemon) {
	w.quiet()
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	d := w.tell(w.deregisterPath(), w.body())
	if d == nil {
		fail("worker %s: nobody acknowledged that it leaves", w.id)
	}
	at := time.Now()
	w.c.rec.note("worker %s: %s acknowledged that it leaves", w.id, d.name)
	return at, d
}

// runsAfter returns the requests that the worker began to run after a time.
func (w *worker) runsAfter(at time.Time) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []run
	for _, r := range w.runs {
		if r.at.After(at) {
			out = append(out, r)
		}
	}
	return out
}
