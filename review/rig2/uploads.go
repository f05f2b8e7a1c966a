//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case: an edge machine of demands/ has 184 MB and 4,100 descriptors.
const (
	uploadsMemory = 184e6
	uploadsFiles  = 4100
	// uploadsClients is the number of clients that nobody controls at each entry. Each sends a
	// head with uploadsLines short lines and a body of uploadsBody bytes, piece by piece, which
	// stops short of its end.
	uploadsClients = 600
	uploadsLines   = 100
	uploadsBody    = 1000
	// uploadsOrdinary is the number of ordinary clients that try a new channel to each entry in
	// each second, and uploadsTime the time for which they do.
	uploadsOrdinary = 10
	uploadsTime     = 20 * time.Second
)

// slowUploads: many clients send requests of legal size with many short header lines and bodies
// that stop short of their end. Ordinary callers must still get answers. The rule is broken if none
// of their requests is served, at any entry.
func slowUploads(rec *Record, trouble bool) (bool, error) {
	c, err := newCluster(rec, 3, 2)
	if err != nil {
		return false, err
	}
	defer c.End()
	c.EntryMemory = uploadsMemory
	for _, entry := range c.Entries {
		entry.Files = uploadsFiles
	}
	if err := c.Start(); err != nil {
		return false, err
	}
	config := newConfig(1).service("stock", 600).route("r-stock", "/stock/", "safe", "stock", int(channelsTimeout.Milliseconds()), 2)
	if err := c.PutConfig(config.encode(), 20*time.Second); err != nil {
		return false, cannotRun("%v", err)
	}
	for i := range 4 {
		if _, err := c.StartWorker(fmt.Sprintf("i-%04d", i), "stock", 6, func(w http.ResponseWriter, _ *http.Request) { writeBody(w, bytesOf(800)) }); err != nil {
			return false, err
		}
	}
	if err := c.AwaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var open, opened atomic.Int64
	if trouble {
		for _, entry := range c.Entries {
			for range uploadsClients {
				go uploadForever(entry, &open, &opened)
				time.Sleep(500 * time.Microsecond)
			}
		}
	}
	time.Sleep(2 * time.Second)
	sums := make([]count, len(c.Entries))
	var all count
	for began := time.Now(); time.Since(began) < uploadsTime; {
		at := time.Now()
		var wg sync.WaitGroup
		for i, entry := range c.Entries {
			wg.Go(func() {
				ready := entry.Ready()
				n := newClients(entry, uploadsOrdinary).once()
				sums[i].sum(n)
				rec.Say("entry %d: ready %v; %d of %d ordinary clients with a new channel got an answer, %d were served; %d MB resident, %d descriptors",
					i+1, ready, n.answered, uploadsOrdinary, n.served, entry.Resident()/1e6, entry.Descriptors())
			})
		}
		wg.Wait()
		time.Sleep(max(0, time.Second-time.Since(at)))
	}
	for i := range sums {
		rec.Say("entry %d: ordinary clients: %v", i+1, sums[i])
		all.sum(sums[i])
	}
	rec.Say("%d channels were opened by clients that nobody controls, %d were open at the end", opened.Load(), open.Load())
	return all.asked > 0 && all.served == 0, nil
}

// uploadForever sends one request after the other, each on a channel of its own.
func uploadForever(entry *VM, open, opened *atomic.Int64) {
	for {
		upload(entry, open, opened)
		time.Sleep(time.Second)
	}
}

// upload sends a request that stops short of the end of its body and stays open until the entry
// closes the channel.
func upload(entry *VM, open, opened *atomic.Int64) {
	conn, err := net.DialTimeout("tcp", entry.Frontend(), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	opened.Add(1)
	open.Add(1)
	defer open.Add(-1)
	id := fmt.Sprintf("%016x", requestNumber.Add(1))
	fmt.Fprintf(conn, "POST /stock/1 HTTP/1.1\r\nHost: ficu95.example\r\nWagtaildyke-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n",
		id, strings.Repeat("a:\r\n", uploadsLines), uploadsBody)
	time.Sleep(300 * time.Millisecond)
	if _, err := conn.Write(bytesOf(uploadsBody - 100)); err != nil {
		return
	}
	for {
		time.Sleep(3 * time.Second)
		if _, err := conn.Write([]byte{'a'}); err != nil {
			return
		}
	}
}
