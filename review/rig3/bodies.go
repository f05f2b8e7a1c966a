//go:build review

package main

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

func init() { cases["bodies"] = bodiesCase }

// bodiesCase lets clients that nobody controls send large bodies piece by piece and stay open
// before their end. Ordinary callers must still get answers.
func bodiesCase(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, deployOptions{replicas: 3, entries: 1})
	if err != nil {
		return false, err
	}
	defer d.stop()
	for i := range 4 {
		w, err := newWorker(rec, d.controls(), fmt.Sprintf("%s%d", d.prefix, 100+i), "orders", "", 6, func(_ *worker, x *exchange) {
			time.Sleep(20 * time.Millisecond)
			x.respond(200, signed(nil), "ok")
		})
		if err != nil {
			return false, err
		}
		defer w.stop()
	}
	config := newConfig([]map[string]any{
		route("order", "shop.example", "/order/", "unsafe", "orders", nil), route("stock", "shop.example", "/stock/", "safe", "orders", nil),
	}, []map[string]any{plainService("orders")})
	if err := d.start(config); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	entry := d.entries()[0]
	var mu sync.Mutex
	type outcome struct {
		at       time.Time
		answered bool
	}
	var outcomes []outcome
	ordinary := &tally{}
	ready, asked := 0, 0
	load := newLoad()
	load.every(100*time.Millisecond, func(n int) {
		r := &request{method: "GET", host: "shop.example", path: "/stock/1", id: newID(), deadline: 3 * time.Second}
		at := time.Now()
		res := r.send(entry.front())
		ordinary.add(res)
		rec.printf("ordinary %s status %d err %v after %s", r.id, res.status, res.err, res.took.Round(time.Millisecond))
		mu.Lock()
		outcomes = append(outcomes, outcome{at, res.status > 0})
		mu.Unlock()
	})
	load.every(time.Second, func(int) {
		ok := d.ready(entry)
		mu.Lock()
		asked++
		if ok {
			ready++
		}
		mu.Unlock()
	})
	time.Sleep(5 * time.Second)
	// A channel of these clients that stays open was taken too, and ends a silence like an
	// answer to an ordinary request.
	taken := func(at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		outcomes = append(outcomes, outcome{at, true})
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	if trouble {
		rec.printf("%d clients begin to send", bodyClients)
		for i := range bodyClients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(time.Duration(i) * time.Millisecond)
				sendForever(entry.front(), done, taken)
			}()
		}
	}
	time.Sleep(40 * time.Second)
	close(done)
	load.stop()
	wg.Wait()
	slices.SortFunc(outcomes, func(a, b outcome) int { return a.at.Compare(b.at) })
	longest, tries := longestSilence(func(yield func(time.Time, bool)) {
		for _, o := range outcomes {
			yield(o.at, o.answered)
		}
	})
	rec.printf("ordinary requests: %s; readiness 200 at %d of %d checks; process running: %t", ordinary, ready, asked, entry.running())
	rec.printf("longest time in which no channel was taken: %s with %d tries; the rule allows %s with 7", longest.Round(time.Millisecond), tries, contactTime)
	return longest > contactTime && tries >= 7 && ready == asked, nil
}

// bodyClients is the number of clients that send large bodies to the entry.
const bodyClients = 3600

// sendForever sends a body of at most 4 MiB in pieces until done, again and again.
func sendForever(address string, done <-chan struct{}, taken func(time.Time)) {
	for {
		select {
		case <-done:
			return
		default:
		}
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		opened := time.Now()
		sendPieces(c, done)
		c.Close()
		if time.Since(opened) > time.Second {
			taken(opened)
		}
		select {
		case <-done:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func sendPieces(c net.Conn, done <-chan struct{}) {
	piece := make([]byte, 1024)
	_, err := fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nWagtaildyke-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", newID())
	for err == nil {
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
		if err != nil {
			return
		}
		// An answer or the end of the channel ends the wait for the next piece.
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
			var b [1]byte
			n, err := c.Read(b[:])
			if nerr, ok := err.(net.Error); n == 0 && ok && nerr.Timeout() {
				return
			}
			c.Close()
		}()
		select {
		case <-done:
			c.Close()
			<-closed
			return
		case <-closed:
		}
	}
}

// longestSilence returns the longest time between two answered requests, or to the end, in
// which requests were sent and none was answered, and their number.
func longestSilence(each func(yield func(at time.Time, answered bool))) (longest time.Duration, tries int) {
	var since time.Time
	n := 0
	each(func(at time.Time, answered bool) {
		if answered {
			since, n = time.Time{}, 0
			return
		}
		if since.IsZero() {
			since = at
		}
		n++
		if at.Sub(since) > longest {
			longest, tries = at.Sub(since), n
		}
	})
	return longest, tries
}
