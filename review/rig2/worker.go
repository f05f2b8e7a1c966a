//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Worker is a stand-in worker of the platform.
type Worker struct {
	ID, Service string
	// Stage is prefill or decode for a model worker.
	Stage string
	// Answer writes the answer to a request that is for this worker, without the id and
	// the signature, which are set already.
	Answer func(w http.ResponseWriter, r *http.Request)

	cluster  *Cluster
	listener net.Listener
	server   *http.Server
	sequence atomic.Uint64
	born     int64
	slots    int
	stop     chan struct{}
	once     sync.Once

	mu    sync.Mutex
	state string
	// Runs counts the runs of each request id.
	Runs map[string]int
	// Open counts the open channels.
	Open atomic.Int64
}

// StartWorker starts a worker on a free port, which announces itself.
func (c *Cluster) StartWorker(id, service string, slots int, answer func(http.ResponseWriter, *http.Request)) (*Worker, error) {
	return c.startWorker(id, service, "", slots, answer)
}

// startWorker starts a worker of a stage, or of none.
func (c *Cluster) startWorker(id, service, stage string, slots int, answer func(http.ResponseWriter, *http.Request)) (*Worker, error) {
	l, err := net.Listen("tcp", c.prefix+"200:0")
	if err != nil {
		return nil, cannotRun("worker: %v", err)
	}
	w := &Worker{
		ID: id, Service: service, Stage: stage, Answer: answer, cluster: c, listener: l, slots: slots,
		born: time.Now().UnixMilli(), stop: make(chan struct{}), state: "ready", Runs: map[string]int{},
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), IdleTimeout: 5 * time.Second, ConnState: w.observe}
	go w.server.Serve(l)
	go w.announce()
	return w, nil
}

func (w *Worker) observe(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		w.Open.Add(1)
	case http.StateClosed, http.StateHijacked:
		w.Open.Add(-1)
	}
}

func (w *Worker) serve(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Wagtaildyke-Request-Id")
	out.Header().Set("Wagtaildyke-Request-Id", id)
	out.Header().Set("Keep-Alive", "timeout=5")
	if expect := r.Header.Get("Wagtaildyke-Expect-Instance"); expect != "" && expect != w.ID {
		out.Header().Set("Wagtaildyke-Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.Runs[id]++
	w.mu.Unlock()
	out.Header().Set("Wagtaildyke-Response-Signature", "sig."+w.ID+"."+id)
	w.Answer(out, r)
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (w *Worker) beat(at int) bool {
	w.mu.Lock()
	state := w.state
	w.mu.Unlock()
	beat := map[string]any{
		"Service": w.Service, "Address": w.listener.Addr().String(), "Zone": "zone-a", "Version": "v1",
		"Slots": w.slots, "State": state, "ColdRemainingMs": 0, "Sequence": w.sequence.Add(1), "born": w.born,
	}
	if w.Stage != "" {
		beat["Stage"] = w.Stage
		beat["Models"] = []map[string]any{{"Name": "m", "Version": 1, "Adapters": []string{}}}
	}
	body, _ := json.Marshal(beat)
	vm := w.cluster.Replicas[at%len(w.cluster.Replicas)]
	status, _, err := call("POST", "http://"+vm.ControlPlane()+"/wagtaildyke/Instances.Heartbeat/"+w.ID, body, time.Second)
	return err == nil && status/100 == 2
}

func (w *Worker) announce() {
	at := 0
	for {
		if !w.beat(at) {
			at++
			select {
			case <-w.stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			continue
		}
		select {
		case <-w.stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// Leave says that the worker drains, serves on for DrainTimeoutMs after the ack, says that it
// is gone, and ends.
func (w *Worker) Leave(drain time.Duration) {
	w.once.Do(func() {
		close(w.stop)
		w.mu.Lock()
		w.state = "draining"
		w.mu.Unlock()
		for i := range 10 {
			if w.beat(i) {
				break
			}
		}
		time.Sleep(drain)
		body, _ := json.Marshal(map[string]any{"born": w.born})
		for i := range 10 {
			vm := w.cluster.Replicas[i%len(w.cluster.Replicas)]
			status, _, err := call("POST", "http://"+vm.ControlPlane()+"/wagtaildyke/Instances.Deregister/"+w.ID, body, time.Second)
			if err == nil && status/100 == 2 {
				break
			}
		}
		w.server.Close()
	})
}

// End ends the worker at once.
func (w *Worker) End() {
	w.once.Do(func() {
		close(w.stop)
		w.server.Close()
	})
}

// bytesOf returns a body of n bytes.
func bytesOf(n int) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = 'a' + byte(i%26)
	}
	return out
}

func writeBody(out http.ResponseWriter, body []byte) {
	out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	out.WriteHeader(http.StatusOK)
	_, _ = out.Write(body)
}

// Config is a config of the operator.
type Config struct {
	Version          uint64
	Routes, Services []map[string]any
	Limits           map[string]any
}

func newConfig(version uint64) *Config {
	return &Config{Version: version, Limits: map[string]any{
		"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
	}}
}

func (c *Config) service(name string, connections int) *Config {
	c.Services = append(c.Services, map[string]any{
		"Name": name, "HealthPath": "/health", "MaxConnections": connections, "Protocol": "h1", "Tls": false,
	})
	return c
}

func (c *Config) route(name, prefix, kind, service string, timeoutMs, attempts int) *Config {
	c.Routes = append(c.Routes, map[string]any{
		"Name": name, "Host": "ficu95.example", "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeoutMs,
		"TargetLatencyMs": 300, "Priority": 2, "Service": service, "MaxAttempts": attempts, "Sticky": false,
		"Resumable": false,
	})
	return c
}

func (c *Config) encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprint("encode a config: ", err))
	}
	return data
}
