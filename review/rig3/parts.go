//go:build review

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["parts"] = partsCase }

const (
	contactTime = 3 * time.Second
	deadlyPart  = "dead0bad"
)

// deadlyWorkers are engines that crash as they begin to write an answer on the deadly part.
type deadlyWorkers struct {
	rec     *record
	mu      sync.Mutex
	crashes []time.Time
	reached []time.Time
}

func holdsDeadly(prefix string) bool {
	parts := strings.Split(prefix, ",")
	for _, p := range parts[:max(0, len(parts)-1)] {
		if id, _, _ := strings.Cut(p, ":"); id == deadlyPart {
			return true
		}
	}
	return false
}

func (d *deadlyWorkers) answer(w *worker, x *exchange) {
	if holdsDeadly(x.req.Header.Get("Wagtaildyke-Prompt-Prefix")) {
		d.mu.Lock()
		d.reached = append(d.reached, time.Now())
		d.crashes = append(d.crashes, time.Now())
		n := len(d.crashes)
		d.mu.Unlock()
		d.rec.printf("request %s with the part %s reached worker %s: crash %d", x.id, deadlyPart, w.id, n)
		x.beginStream(nil)
		x.closed = true
		w.crash(2 * time.Second)
		return
	}
	x.beginStream(nil)
	for i := 1; i <= 10; i++ {
		time.Sleep(100 * time.Millisecond)
		if x.event(i, "text") != nil {
			x.closed = true
			return
		}
	}
	x.endStream()
}

// late returns the requests that reached workers later than contactTime after the fifth crash.
func (d *deadlyWorkers) late() (crashes, late int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.crashes) < 5 {
		return len(d.crashes), 0
	}
	for _, at := range d.reached {
		if at.After(d.crashes[4].Add(contactTime)) {
			late++
		}
	}
	return len(d.crashes), late
}

// partsCase sends sound requests and, as the disruption, requests whose prompts have 67
// parts, the last but one of which crashes workers.
func partsCase(rec *record, trouble bool) (bool, error) {
	parts := 67
	if n, err := strconv.Atoi(os.Getenv("PARTS")); err == nil {
		parts = n
	}
	d, err := newDeployment(rec, deployOptions{replicas: 3, entries: 2})
	if err != nil {
		return false, err
	}
	defer d.stop()
	engines := &deadlyWorkers{rec: rec}
	for i := range 8 {
		w, err := newWorker(rec, d.controls(), fmt.Sprintf("%s%d", d.prefix, 100+i), "assistant", "decode", 24, engines.answer)
		if err != nil {
			return false, err
		}
		defer w.stop()
	}
	config := newConfig([]map[string]any{route("ask", "shop.example", "/ask/", "streaming", "assistant", nil)}, []map[string]any{engineService("assistant")})
	if err := d.start(config); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	sound := &tally{}
	load := newLoad()
	load.every(50*time.Millisecond, func(n int) {
		r := &request{method: "POST", host: "shop.example", path: "/ask/1", id: newID(), deadline: 3 * time.Second, body: []byte("q"), headers: map[string]string{
			"Wagtaildyke-Model": "m", "Wagtaildyke-Token-Usage": "300,8", "Wagtaildyke-Prompt-Prefix": fmt.Sprintf("5c1e07a2:100,%08x:200", 0x10000000+n),
		}}
		res := r.send(d.entries()[n%2].front())
		sound.add(res)
		rec.printf("sound %s status %d err %v", r.id, res.status, res.err)
	})
	if trouble {
		load.every(700*time.Millisecond, func(n int) {
			var prefix []string
			for p := range parts - 2 {
				prefix = append(prefix, fmt.Sprintf("%08x:10", 0x20000000+n*256+p))
			}
			prefix = append(prefix, deadlyPart+":10", fmt.Sprintf("%08x:10", 0x30000000+n))
			r := &request{method: "POST", host: "shop.example", path: "/ask/1", id: newID(), deadline: 3 * time.Second, body: []byte("q"), headers: map[string]string{
				"Wagtaildyke-Model": "m", "Wagtaildyke-Token-Usage": fmt.Sprintf("%d,8", 10*len(prefix)), "Wagtaildyke-Prompt-Prefix": strings.Join(prefix, ","),
			}}
			res := r.send(d.entries()[n%2].front())
			rec.printf("with the part %s: %s, %d parts, status %d err %v", deadlyPart, r.id, len(prefix), res.status, res.err)
		})
	}
	time.Sleep(40 * time.Second)
	load.stop()
	crashes, late := engines.late()
	rec.printf("sound requests: %s; those that failed were broken off by a crash", sound)
	rec.printf("%d crashes; %d requests with the part reached workers later than %s after the fifth crash; the rule allows 3", crashes, late, contactTime)
	if sound.ok < sound.total()/4 {
		return false, notRun("too few sound requests were served: %s", sound)
	}
	return late > 3, nil
}
