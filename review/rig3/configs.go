//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["configs"] = configsCase }

func number(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return value
}

// coreMemory is the memory of a core machine of the site, in the larger reading of its 280 MB.
// A process that uses more is killed. coreDisk is its disk, which nothing here limits.
const coreMemory, coreDisk = 280 << 20, 128 << 20

// configsCase changes a config of legal size hundreds of times. The processes of the core must
// stay within the memory of their machines, and the newest config must be read back.
func configsCase(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, deployOptions{replicas: 3, entries: 1})
	if err != nil {
		return false, err
	}
	defer d.stop()
	count, limit := number("ROUTES", 14000), time.Duration(number("SECONDS", 70))*time.Second
	if !trouble {
		// The config has not grown.
		count = 10
	}
	random := rand.New(rand.NewPCG(7, 7))
	name := func() string {
		b := make([]byte, 4)
		for i := range b {
			b[i] = "abcdefghijklmnopqrstuvwxyz"[random.IntN(26)]
		}
		return fmt.Sprintf("%s%03d", b, random.IntN(1000))
	}
	routes := []map[string]any{route("stock", "shop.example", "/stock/", "safe", "orders", map[string]any{"TimeoutMs": 2999})}
	for i := range count {
		routes = append(routes, route("r-"+name(), "shop.example", fmt.Sprintf("/%s%d/", name(), i), "safe", "orders", nil))
	}
	config := newConfig(routes, []map[string]any{plainService("orders")})
	data, _ := json.Marshal(config)
	rec.printf("a config of %d routes and %d bytes", len(routes), len(data))
	if err := d.start(config); err != nil {
		return false, err
	}
	p := watchMemory(d, d.replicas(), coreMemory)
	changes := changeOften(rec, d, p, data, limit)
	var read atomic.Int64
	until := time.Now().Add(15 * time.Second)
	for read.Load() < int64(changes.acknowledged) && time.Now().Before(until) {
		for _, at := range d.controls() {
			if v := d.readVersion(at); v > 0 {
				rec.printf("%s answers the read with version %d", at, v)
				read.Store(max(read.Load(), int64(v)))
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	p.stop()
	killed := p.report(coreMemory)
	rec.printf("%d changes, the last acknowledged one is version %d, read back at the end: %d", changes.sent, changes.acknowledged, read.Load())
	rec.printf("%d MiB of files at most; the disk of the site has %d MiB", p.files>>20, coreDisk>>20)
	return killed >= 2 || read.Load() < int64(changes.acknowledged), nil
}

// readVersion reads the config at one replica and returns its version, or 0 without an answer.
func (d *deployment) readVersion(at string) int {
	resp, err := d.client.Get("http://" + at + "/wagtaildyke/Config.Get")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	var v struct{ Version int }
	if err != nil || resp.StatusCode != http.StatusOK || json.NewDecoder(bytes.NewReader(data)).Decode(&v) != nil {
		return 0
	}
	return v.Version
}

// changes are the changes of the config that were sent, and the newest acknowledged version.
type changes struct {
	mu                 sync.Mutex
	sent, acknowledged int
}

// maxChanges bounds the changes: the pages speak of hundreds.
const maxChanges = 600

// changeOften sends changes of one route's time-out, four at once; PROTOCOL.md allows eight.
func changeOften(rec *record, d *deployment, p *platform, data []byte, limit time.Duration) *changes {
	const marked = `"TimeoutMs":2999`
	before, after, _ := bytes.Cut(bytes.TrimPrefix(data, []byte("{")), []byte(marked))
	c := &changes{acknowledged: d.version}
	until := time.Now().Add(limit)
	var wg sync.WaitGroup
	for range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(until) {
				c.mu.Lock()
				if c.sent == maxChanges {
					c.mu.Unlock()
					return
				}
				c.sent++
				n := c.sent
				d.version += 3
				version := d.version
				c.mu.Unlock()
				body := fmt.Appendf(nil, `{"Version":%d,`, version)
				body = append(append(append(body, before...), fmt.Sprintf(`"TimeoutMs":%d`, 3000+n)...), after...)
				ok := d.send(body, version, time.Now().Add(10*time.Second))
				c.mu.Lock()
				if ok {
					c.acknowledged = max(c.acknowledged, version)
				}
				c.mu.Unlock()
				if n%20 == 0 {
					p.mu.Lock()
					rec.printf("after %d changes: %d MiB of memory at most, %d MiB of files at most", n, p.most>>20, p.files>>20)
					p.mu.Unlock()
				}
			}
		}()
	}
	wg.Wait()
	return c
}
