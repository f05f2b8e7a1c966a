//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case. The sheet of mormota-tura gives an edge machine 4,100 descriptors, and a
// worker of guide-llm 48 slots and 300 channels. release replaces the workers of a service one
// after the other, a second apart.
const (
	channelsFiles    = 4100
	channelsSlots    = 48
	channelsMost     = 300
	channelsWorkers  = 2
	channelsReplaced = 52
	channelsGap      = time.Second
	// channelsClients is the number of kept channels of clients to each entry: what the
	// workers run and queue.
	channelsClients = 150
	// channelsNew is the number of new clients that try an entry in a second of the calm.
	channelsNew  = 10
	channelsCalm = 14 * time.Second
)

// keptChannel is a channel of a client that is kept for many requests.
type keptChannel struct {
	conn net.Conn
	r    *bufio.Reader
}

func dialKept(address string, timeout time.Duration) (*keptChannel, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	return &keptChannel{conn, bufio.NewReader(conn)}, nil
}

var requestNumber atomic.Uint64

// channelsTimeout is TimeoutMs of the route. A request that is unanswered then must have a final
// answer channelsSlack later.
const (
	channelsTimeout = 1500 * time.Millisecond
	channelsSlack   = 500 * time.Millisecond
)

// outcome is what a client saw of its request.
type outcome struct {
	// served is set for a complete answer of a worker, answered for any complete answer.
	served, answered bool
	// long is set if the request was unanswered at the route's TimeoutMs, and never if it had
	// no answer channelsSlack later either.
	long, never bool
}

// get sends one request and waits for its answer.
func (k *keptChannel) get(path string) (o outcome, err error) {
	id := fmt.Sprintf("%016x", requestNumber.Add(1))
	began := time.Now()
	_ = k.conn.SetDeadline(began.Add(channelsTimeout + channelsSlack))
	_, err = fmt.Fprintf(k.conn, "GET %s HTTP/1.1\r\nHost: ficu95.example\r\nWagtaildyke-Request-Id: %s\r\nWagtaildyke-Deadline-Ms: 3000\r\n\r\n", path, id)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(k.r, nil)
	}
	if err == nil {
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
	}
	o.long = time.Since(began) > channelsTimeout
	o.never = errors.Is(err, os.ErrDeadlineExceeded)
	o.answered = err == nil
	o.served = err == nil && resp.StatusCode == http.StatusOK
	return o, err
}

// count sums up outcomes.
type count struct{ asked, served, answered, long, never int }

func (c *count) add(o outcome) {
	c.asked++
	for _, of := range []struct {
		is bool
		n  *int
	}{{o.served, &c.served}, {o.answered, &c.answered}, {o.long, &c.long}, {o.never, &c.never}} {
		if of.is {
			*of.n++
		}
	}
}

func (c *count) sum(other count) {
	c.asked, c.served, c.answered = c.asked+other.asked, c.served+other.served, c.answered+other.answered
	c.long, c.never = c.long+other.long, c.never+other.never
}

func (c count) String() string {
	return fmt.Sprintf("%d requests sent, %d served by a worker, %d answered at all, %d unanswered at TimeoutMs, %d unanswered half a second later",
		c.asked, c.served, c.answered, c.long, c.never)
}

// clients are kept channels to one entry. In a burst each sends one request.
type clients struct {
	entry    *VM
	channels []*keptChannel
}

func newClients(entry *VM, count int) *clients { return &clients{entry, make([]*keptChannel, count)} }

func (c *clients) burst() (out count) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range c.channels {
		wg.Go(func() {
			if o, sent := c.request(i); sent {
				mu.Lock()
				defer mu.Unlock()
				out.add(o)
			}
		})
	}
	wg.Wait()
	return out
}

// once is burst, after which the channels are closed.
func (c *clients) once() count {
	defer func() {
		for _, k := range c.channels {
			if k != nil {
				k.conn.Close()
			}
		}
	}()
	return c.burst()
}

// request sends a request on a kept channel, or on a new one if the last one has failed. It
// reports whether there was a channel to send it on.
func (c *clients) request(i int) (o outcome, sent bool) {
	if c.channels[i] == nil {
		k, err := dialKept(c.entry.Frontend(), time.Second)
		if err != nil {
			return o, false
		}
		c.channels[i] = k
	}
	o, err := c.channels[i].get("/stock/1")
	if err != nil {
		c.channels[i].conn.Close()
		c.channels[i] = nil
	}
	return o, true
}

// leakedChannels: the workers of a service are replaced one after the other for a while. The
// entries must go on taking new channels and serving requests.
func leakedChannels(rec *Record, trouble bool) (bool, error) {
	c, err := newCluster(rec, 3, 2)
	if err != nil {
		return false, err
	}
	defer c.End()
	for _, entry := range c.Entries {
		entry.Files = channelsFiles
	}
	if err := c.Start(); err != nil {
		return false, err
	}
	config := newConfig(1).service("stock", channelsMost).route("r-stock", "/stock/", "safe", "stock", int(channelsTimeout.Milliseconds()), 2)
	if err := c.PutConfig(config.encode(), 20*time.Second); err != nil {
		return false, cannotRun("%v", err)
	}
	var workers []*Worker
	next := 0
	addWorker := func() error {
		next++
		slots := make(chan struct{}, channelsSlots)
		w, err := c.StartWorker(fmt.Sprintf("i-%04d", next), "stock", channelsSlots, func(w http.ResponseWriter, _ *http.Request) {
			slots <- struct{}{}
			time.Sleep(60 * time.Millisecond)
			<-slots
			writeBody(w, bytesOf(800))
		})
		if err == nil {
			workers = append(workers, w)
		}
		return err
	}
	for range channelsWorkers {
		if err := addWorker(); err != nil {
			return false, err
		}
	}
	if err := c.AwaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var groups []*clients
	for _, entry := range c.Entries {
		groups = append(groups, newClients(entry, channelsClients))
	}
	replaced := 0
	var leaving sync.WaitGroup
	for round := range channelsReplaced {
		began := time.Now()
		if trouble {
			// The new one starts first, the old one drains.
			if err := addWorker(); err != nil {
				return false, err
			}
			old := workers[0]
			workers = workers[1:]
			leaving.Go(func() { old.Leave(2 * time.Second) })
			replaced++
		}
		var served [2]count
		for range 2 {
			var wg sync.WaitGroup
			for i, group := range groups {
				wg.Go(func() { served[i] = group.burst() })
			}
			wg.Wait()
		}
		if round%5 == 4 || round == 0 {
			rec.Say("second %d: %d and %d of %d requests served; %d workers replaced, %d and %d descriptors at the entries, %d channels open at workers",
				round, served[0].served, served[1].served, channelsClients, replaced, c.Entries[0].Descriptors(), c.Entries[1].Descriptors(), openChannels(workers))
		}
		time.Sleep(max(0, channelsGap-time.Since(began)))
	}
	leaving.Wait()
	rec.Say("calm from now on: %d workers were replaced, %d and %d descriptors at the entries, %d channels open at workers",
		replaced, c.Entries[0].Descriptors(), c.Entries[1].Descriptors(), openChannels(workers))
	// The same clients go on. What they get from twice ContactMs on counts.
	var total count
	for began := time.Now(); time.Since(began) < channelsCalm; {
		at := time.Now()
		counts := time.Since(began) > 6*time.Second
		var wg sync.WaitGroup
		var mu sync.Mutex
		for i, group := range groups {
			wg.Go(func() {
				var n, fresh count
				var both sync.WaitGroup
				both.Go(func() { n = group.burst() })
				both.Go(func() { fresh = newClients(group.entry, channelsNew).once() })
				both.Wait()
				rec.Say("entry %d, kept channels: %v", i+1, n)
				rec.Say("entry %d, new channels: %v; %d descriptors", i+1, fresh, group.entry.Descriptors())
				n.sum(fresh)
				mu.Lock()
				defer mu.Unlock()
				if counts {
					total.sum(n)
				}
			})
		}
		wg.Wait()
		time.Sleep(max(0, channelsGap-time.Since(at)))
	}
	for _, w := range workers {
		w.End()
	}
	rec.Say("in calm: %v", total)
	return total.never >= 8 && 2*total.never > total.long, nil
}

func openChannels(workers []*Worker) (open int64) {
	for _, w := range workers {
		open += w.Open.Load()
	}
	return open
}
