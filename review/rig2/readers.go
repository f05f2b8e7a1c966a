//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case. The answers are an eighth of the largest request that the config of the
// pages' example allows (MaxBodyBytes); the memory is that of an edge machine in demands/.
const (
	readersMemory = 184e6
	readersBody   = 512 << 10
	readersCount  = 250
	readersTime   = 12 * time.Second
)

// slowDialer opens channels like those of a network with small segments and windows, so that
// what a client has not read stays with its sender.
var slowDialer = net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10)
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
	})
}}

// slowReaders: many clients read their answers slowly. The entries must stay within the memory
// of their machines.
func slowReaders(rec *Record, trouble bool) (bool, error) {
	c, err := newCluster(rec, 3, 2)
	if err != nil {
		return false, err
	}
	defer c.End()
	c.EntryMemory = readersMemory
	if err := c.Start(); err != nil {
		return false, err
	}
	config := newConfig(1).service("stock", 600).route("r-stock", "/stock/", "safe", "stock", 20000, 1)
	if err := c.PutConfig(config.encode(), 20*time.Second); err != nil {
		return false, cannotRun("%v", err)
	}
	body := bytesOf(readersBody)
	for i := range 4 {
		if _, err := c.StartWorker(fmt.Sprintf("i-%04d", i), "stock", 48, func(w http.ResponseWriter, _ *http.Request) { writeBody(w, body) }); err != nil {
			return false, err
		}
	}
	return overMemory(rec, c, readersTime, func(entry *VM, done <-chan struct{}) string {
		var sent, whole, cut atomic.Int64
		var wg sync.WaitGroup
		for range readersCount {
			select {
			case <-done:
			case <-time.After(20 * time.Millisecond):
				wg.Go(func() {
					if readOne(entry, trouble, done, &sent) == readersBody {
						whole.Add(1)
					} else {
						cut.Add(1)
					}
				})
			}
		}
		wg.Wait()
		return fmt.Sprintf("%d requests sent, %d answers read whole, %d ended early", sent.Load(), whole.Load(), cut.Load())
	})
}

// readOne sends one request and reads the answer. It returns the length of the body that it got.
func readOne(entry *VM, slowly bool, done <-chan struct{}, sent *atomic.Int64) int {
	conn, err := slowDialer.Dial("tcp", entry.Frontend())
	if err != nil {
		return 0
	}
	defer conn.Close()
	id := fmt.Sprintf("%016x", requestNumber.Add(1))
	fmt.Fprintf(conn, "GET /stock/1 HTTP/1.1\r\nHost: ficu95.example\r\nWagtaildyke-Request-Id: %s\r\nWagtaildyke-Deadline-Ms: 20000\r\n\r\n", id)
	sent.Add(1)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		return 0
	}
	defer resp.Body.Close()
	got, buffer := 0, make([]byte, 64<<10)
	for {
		if slowly {
			// 4 KB in a quarter of a second.
			buffer = buffer[:4<<10]
			select {
			case <-time.After(250 * time.Millisecond):
			case <-done:
				return got
			}
		}
		n, err := resp.Body.Read(buffer)
		got += n
		if err != nil {
			return got
		}
	}
}
