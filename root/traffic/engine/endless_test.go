package engine_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// endlessExchanges is the number of requests that faulty servers answer at the same time.
const endlessExchanges = 300

// maxEndlessBytes is the memory that these exchanges may take together. It includes what
// the test's own servers and connections take.
const maxEndlessBytes = 64 << 20

// heapInUse returns the memory of live objects.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// endlessServer answers each request with begin and then with copies of piece, up to limit
// bytes. Afterwards it holds the connection until the test ends.
func endlessServer(t *testing.T, begin string, piece func(i int) string, limit int) (address string, stalled *atomic.Int32) {
	stalled = &atomic.Int32{}
	address, _ = listen(t, func(_ int, conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		out := bufio.NewWriter(conn)
		_, _ = io.WriteString(out, begin)
		for i, sent := 0, len(begin); sent < limit; i++ {
			text := piece(i)
			if _, err := io.WriteString(out, text); err != nil {
				break
			}
			sent += len(text)
		}
		_ = out.Flush()
		stalled.Add(1)
		_, _ = io.Copy(io.Discard, conn)
	})
	return address, stalled
}

// measureExchanges runs exchanges at the same time and returns the memory that they take once the
// server has sent all bytes.
func measureExchanges(t *testing.T, stalled *atomic.Int32, exchange func()) int64 {
	before := heapInUse()
	var done sync.WaitGroup
	for range endlessExchanges {
		done.Go(exchange)
	}
	for until := time.Now().Add(20 * time.Second); stalled.Load() < endlessExchanges && time.Now().Before(until); {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	taken := heapInUse() - before
	t.Cleanup(done.Wait)
	return taken
}

// TestManyEndlessHeadsShareAMemoryLimit guards against servers that send heads without end
// in so many requests at once that the process runs out of memory.
func TestManyEndlessHeadsShareAMemoryLimit(t *testing.T) {
	c := qt.New(t)
	address, stalled := endlessServer(t, "HTTP/1.1 200 OK\r\nId: one\r\n", func(i int) string { return fmt.Sprintf("%x:\n", i) }, 60<<10)
	tr := engine.NewTransport()
	taken := measureExchanges(t, stalled, func() {
		if resp, err := tr.Do(t.Context(), address, 0, identified("one")); err == nil {
			resp.Body.Close()
		}
	})
	c.Assert(taken < maxEndlessBytes, qt.IsTrue, qt.Commentf("%d bytes", taken))
}

// TestManyEndlessEventsShareAMemoryLimit guards against servers that send events without
// end in so many streams at once that the process runs out of memory.
func TestManyEndlessEventsShareAMemoryLimit(t *testing.T) {
	c := qt.New(t)
	noise := strings.Repeat("x", 16<<10)
	address, stalled := endlessServer(t, "HTTP/1.1 200 OK\r\nId: one\r\nContent-Type: text/event-stream\r\n\r\ndata: ", func(int) string { return noise }, 1000<<10)
	tr := engine.NewTransport()
	taken := measureExchanges(t, stalled, func() {
		resp, err := tr.Do(t.Context(), address, 0, identified("one"))
		if err != nil {
			return
		}
		defer resp.Body.Close()
		events := tr.NewResponseReader(resp)
		defer events.Close()
		_, _ = events.Next()
	})
	c.Assert(taken < maxEndlessBytes, qt.IsTrue, qt.Commentf("%d bytes", taken))
}
