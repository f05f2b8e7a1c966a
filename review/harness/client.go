//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id     string
	entry  *daemon
	sent   time.Time
	status int
	body   string
	err    error
}

// send sends one request to an entry on a new connection and returns its answer.
func (d *daemon) send(method, path, body string) answer {
	a := answer{id: fmt.Sprintf("%016x", rand.Uint64()), entry: d, sent: time.Now()}
	req, err := http.NewRequest(method, d.address(frontendPort)+path, strings.NewReader(body))
	if err != nil {
		fail("%v", err)
	}
	req.Host = "shop.example"
	req.Header.Set("Wagtaildyke-Request-Id", a.id)
	req.Header.Set("Wagtaildyke-Deadline-Ms", "3000")
	d.c.rec.log("client: sends %s %s %s to %s", method, path, a.id, d.name)
	resp, err := newClient(3500 * time.Millisecond).Do(req)
	if err != nil {
		a.err = err
		d.c.rec.log("client: %s ends: %v", a.id, err)
		return a
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a.status, a.body, a.err = resp.StatusCode, string(data), err
	d.c.rec.log("client: %s gets %d %q %v", a.id, a.status, strings.TrimSpace(a.body), errText(err))
	return a
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// load sends requests to each entry at a steady rate until stop is closed, and returns
// their answers.
func (c *cluster) load(method, path string, every time.Duration, stop <-chan struct{}) []answer {
	var mu sync.Mutex
	var out []answer
	var sending sync.WaitGroup
	for _, d := range c.entries() {
		sending.Add(1)
		go func() {
			defer sending.Done()
			for {
				sending.Add(1)
				go func() {
					defer sending.Done()
					a := d.send(method, path, "order")
					mu.Lock()
					out = append(out, a)
					mu.Unlock()
				}()
				select {
				case <-stop:
					return
				case <-time.After(every):
				}
			}
		}()
	}
	sending.Wait()
	return out
}

// loadFor is load for a length of time.
func (c *cluster) loadFor(method, path string, every, length time.Duration) []answer {
	stop := make(chan struct{})
	time.AfterFunc(length, func() { close(stop) })
	return c.load(method, path, every, stop)
}

// summary counts answers by status.
func summary(answers []answer) string {
	counts := map[int]int{}
	for _, a := range answers {
		counts[a.status]++
	}
	return fmt.Sprintf("%d requests, by status (0: none): %v", len(answers), counts)
}
