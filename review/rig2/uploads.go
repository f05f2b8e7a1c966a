//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case: an edge machine of demands/ has 184 MB and 4,100 descriptors, and ContactMs
// is 4,000 there.
const (
	uploadsMemory  = 184e6
	uploadsFiles   = 4100
	uploadsContact = 4 * time.Second
	// uploadsClients is the number of clients that nobody controls at each entry. Each sends a
	// body in pieces, uploadsPiece bytes twice a second.
	uploadsClients = 2300
	uploadsPiece   = 100
	// uploadsOrdinary is the number of ordinary clients that try a new channel to each entry in
	// each second.
	uploadsOrdinary = 10
	uploadsTime     = 25 * time.Second
)

// slowUploads: many clients send large bodies piece by piece. Ordinary callers must still get
// answers, and an entry that says that it is ready must take new channels.
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
	type state struct {
		sum count
		// refusedSince is the start of the present time without a new channel, in which tried
		// clients have tried.
		refusedSince time.Time
		tried        int
		longest      time.Duration
	}
	states := make([]state, len(c.Entries))
	broken := false
	for began := time.Now(); time.Since(began) < uploadsTime; {
		at := time.Now()
		var wg sync.WaitGroup
		for i, entry := range c.Entries {
			wg.Go(func() {
				s := &states[i]
				ready := entry.Ready()
				n := newClients(entry, uploadsOrdinary).once()
				s.sum.sum(n)
				if !ready || n.answered > 0 {
					s.refusedSince, s.tried = time.Time{}, 0
				} else {
					if s.refusedSince.IsZero() {
						s.refusedSince = at
					}
					s.tried += uploadsOrdinary
					s.longest = max(s.longest, time.Since(s.refusedSince))
				}
				rec.Say("entry %d: ready %v; %d of %d new channels of ordinary clients got an answer; %d MB resident, %d descriptors",
					i+1, ready, n.answered, uploadsOrdinary, entry.Resident()/1e6, entry.Descriptors())
			})
		}
		wg.Wait()
		time.Sleep(max(0, time.Second-time.Since(at)))
	}
	for i := range states {
		s := &states[i]
		rec.Say("entry %d: ordinary clients: %v; took no new channel for %v at a stretch while it said that it is ready", i+1, s.sum, s.longest.Round(time.Millisecond))
		broken = broken || s.longest > uploadsContact
	}
	rec.Say("%d channels were opened for uploads, %d were open at the end", opened.Load(), open.Load())
	return broken, nil
}

// uploadForever sends a body in chunks, piece by piece, and begins again if the entry closes the
// channel.
func uploadForever(entry *VM, open, opened *atomic.Int64) {
	for {
		upload(entry, open, opened)
		time.Sleep(time.Second)
	}
}

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
	fmt.Fprintf(conn, "POST /stock/1 HTTP/1.1\r\nHost: ficu95.example\r\nWagtaildyke-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	piece := []byte(fmt.Sprintf("%x\r\n%s\r\n", uploadsPiece, bytesOf(uploadsPiece)))
	for {
		if _, err := conn.Write(piece); err != nil {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}
