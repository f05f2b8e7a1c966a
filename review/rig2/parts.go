//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case: an edge machine of demands/ has 184 MB, and an engine of niletresses-wd
// memory for 507,865 tokens. MaxHeaderBytes is 16,384.
const (
	partsMemory  = 184e6
	partsTokens  = 507865
	partsInOne   = 1500
	partsClients = 8
	partsTime    = 15 * time.Second
)

// manyParts: clients that nobody controls send requests of legal size whose prompts have very
// many short parts. The entries must stay within the memory of their machines.
func manyParts(rec *Record, trouble bool) (bool, error) {
	c, err := newCluster(rec, 3, 2)
	if err != nil {
		return false, err
	}
	defer c.End()
	c.EntryMemory = partsMemory
	if err := c.Start(); err != nil {
		return false, err
	}
	config := newConfig(1).service("llm", 200)
	config.Services[0]["Engine"] = map[string]any{
		"Slots": 24, "KvTokens": partsTokens, "KvTokenBytes": 18432, "LinkMbps": 180000.0, "Moves": true, "Backups": true,
		"Stride": 10, "most": 12, "HandleTtlS": 5.0, "SwitchS": 3.0, "PinMs": 4000.0, "HoldMs": 2000.0,
		"Models": []map[string]any{{"Name": "m"}},
	}
	config.route("r-ask", "/ask/", "streaming", "llm", 3000, 1)
	if err := c.PutConfig(config.encode(), 20*time.Second); err != nil {
		return false, cannotRun("%v", err)
	}
	for i := range 6 {
		stage := "decode"
		if i < 2 {
			stage = "prefill"
		}
		if _, err := c.StartEngine(fmt.Sprintf("i-%04d", i), "llm", stage, 24); err != nil {
			return false, err
		}
	}
	return overMemory(rec, c, partsTime, func(entry *VM, done <-chan struct{}) string {
		var sent, served atomic.Int64
		var wg sync.WaitGroup
		for range partsClients {
			wg.Go(func() {
				for {
					select {
					case <-done:
						return
					default:
						ask(entry, trouble, &sent, &served)
					}
				}
			})
		}
		wg.Wait()
		return fmt.Sprintf("%d requests sent, %d served", sent.Load(), served.Load())
	})
}

// ask sends a few requests on a channel of their own. Each has a prompt of 1,500 tokens: one
// shared part and one of its own, or 1,500 parts.
func ask(entry *VM, manyParts bool, sent, served *atomic.Int64) {
	k, err := dialKept(entry.Frontend(), time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer k.conn.Close()
	for range 10 {
		n := requestNumber.Add(1)
		parts := fmt.Sprintf("5c1e07a2:92,%x:%d", n, partsInOne-92)
		if manyParts {
			var b strings.Builder
			for j := range partsInOne {
				fmt.Fprintf(&b, "%x:1,", n*partsInOne+uint64(j))
			}
			parts = strings.TrimSuffix(b.String(), ",")
		}
		_ = k.conn.SetDeadline(time.Now().Add(4 * time.Second))
		head := fmt.Sprintf("POST /ask/1 HTTP/1.1\r\nHost: ficu95.example\r\nWagtaildyke-Request-Id: %016x\r\nWagtaildyke-Model: m\r\n"+
			"Wagtaildyke-Token-Usage: %d,5\r\nWagtaildyke-Prompt-Prefix: %s\r\nWagtaildyke-Deadline-Ms: 3000\r\nContent-Length: 2\r\n\r\n", n, partsInOne, parts)
		if len(head) > 16384 {
			panic("the head is over MaxHeaderBytes")
		}
		if _, err := io.WriteString(k.conn, head+"ab"); err != nil {
			return
		}
		sent.Add(1)
		resp, err := http.ReadResponse(k.r, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil {
			return
		}
		if resp.StatusCode == http.StatusOK {
			served.Add(1)
		} else {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// StartEngine starts a stand-in model worker of a stage. A prefill call is answered with a handle,
// any other request with a stream of five events.
func (c *Cluster) StartEngine(id, service, stage string, slots int) (*Worker, error) {
	var handles atomic.Uint64
	answer := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(10 * time.Millisecond)
		if r.Header.Get("Wagtaildyke-Stage") == "prefill" {
			w.Header().Set("Content-Type", "application/json")
			fmt.Fprintf(w, `{"KvHandle":"%s-%d","Tokens":%d,"Version":1}`, id, handles.Add(1), partsInOne)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Wagtaildyke-Weight-Versions", "1")
		for i := range 5 {
			fmt.Fprintf(w, "id: %d\ndata: token\n\n", i+1)
			w.(http.Flusher).Flush()
			time.Sleep(2 * time.Millisecond)
		}
	}
	w, err := c.startWorker(id, service, stage, slots, answer)
	return w, err
}
