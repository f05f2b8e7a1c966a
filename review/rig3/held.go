//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["held"] = heldCase }

// heldClients is the number of clients that nobody controls, at each directory.
const heldClients = 300

// heldCase lets clients that nobody controls send bodies to the directories and stay open
// before their end. Ordinary callers, which ask a directory first, must still be served.
func heldCase(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, deployOptions{replicas: 3, entries: 2})
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
	config := newConfig([]map[string]any{route("stock", "shop.example", "/stock/", "safe", "orders", nil)}, []map[string]any{plainService("orders")})
	if err := d.start(config); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	done := make(chan struct{})
	var wg sync.WaitGroup
	if trouble {
		rec.printf("%d clients begin to send to each directory", heldClients)
		for i := range heldClients {
			for _, m := range d.replicas() {
				wg.Add(1)
				go func() {
					defer wg.Done()
					time.Sleep(time.Duration(i) * 5 * time.Millisecond)
					holdBody(fmt.Sprintf("%s:%d", m.ip, d.ports.directory), done)
				}()
			}
		}
	}
	time.Sleep(3 * time.Second)
	// All callers of the day count, from the first one on.
	callers, lookups := &tally{}, &tally{}
	load := newLoad()
	load.every(200*time.Millisecond, func(n int) {
		address, found := d.resolve(n)
		lookups.add(found)
		if address == "" {
			rec.printf("caller %d: no directory has answered: %v", n, found.err)
			callers.add(result{err: found.err})
			return
		}
		r := &request{method: "GET", host: "shop.example", path: "/stock/1", id: newID(), deadline: 3 * time.Second}
		res := r.send(address)
		callers.add(res)
		rec.printf("caller %d: %s at %s, status %d err %v", n, r.id, address, res.status, res.err)
	})
	time.Sleep(34 * time.Second)
	load.stop()
	close(done)
	wg.Wait()
	rec.printf("all callers of the day: %s; look-ups: %s", callers, lookups)
	for _, m := range d.daemons {
		rec.printf("process %s: running %t", m.ip, m.running())
	}
	return callers.ok == 0, nil
}

// resolve asks up to three directories, one second each, for the addresses of entries and
// returns one.
func (d *deployment) resolve(n int) (address string, res result) {
	for k := range 3 {
		m := d.replicas()[(n+k)%len(d.replicas())]
		r := &request{method: "GET", host: m.ip, path: "/wagtaildyke/resolve?Name=shop.example&Region=r&Zone=zone-0", id: newID(), deadline: 500 * time.Millisecond}
		res = r.send(fmt.Sprintf("%s:%d", m.ip, d.ports.directory))
		var answer struct{ Addresses []string }
		if res.status == 200 && json.Unmarshal(res.body, &answer) == nil && len(answer.Addresses) > 0 {
			return answer.Addresses[n%len(answer.Addresses)], res
		}
	}
	return "", res
}

// holdBody sends all but the last byte of a body of 200 KB and stays open until done. It does
// that once: a channel that the daemon ends is not opened again.
func holdBody(address string, done <-chan struct{}) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	body := make([]byte, 200_000)
	if _, err := fmt.Fprintf(c, "POST /wagtaildyke/resolve HTTP/1.1\r\nHost: shop.example\r\nContent-Length: %d\r\n\r\n", len(body)); err != nil {
		return
	}
	if _, err := c.Write(body[1:]); err != nil {
		return
	}
	<-done
}
