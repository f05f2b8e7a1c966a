package scenario_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// These benchmarks give the figures of docs/MEASUREMENTS.md that need whole
// processes. They report; no test has a bound on them.

// figuresCluster starts VMs, a stand-in service and a stand-in engine.
func figuresCluster(b *testing.B, n, replicas int) *cluster {
	c := newCluster(b.TempDir())
	b.Cleanup(c.close)
	must(b, c.build(n, replicas, 1))
	for _, v := range c.vms {
		must(b, v.start())
	}
	must(b, within(startLimit, func() error { return conditions["leased"](c, c.names()) }))
	figuresBackend(b, c, "stock-1", "--service", "stock", "--slots", "256", "--token-interval", "0s")
	figuresBackend(b, c, "engine-1", "--model", "assistant", "--slots", "2000", "--token-interval", "100ms")
	_, err := c.putTable("vm-1", "figures", 0, strings.Join([]string{
		"class,weight,place,concurrency,rate_per_second,queue,tokens,deadline_ms,targets,idempotent",
		"short,3,0,4000,100000,4000,0,60000,assistant,yes",
		"lookup,1,0,256,100000,256,0,5000,stock,yes",
		"order,1,0,256,100000,256,0,15000,stock,no",
	}, "\n")+"\n")
	must(b, err)
	must(b, within(startLimit, func() error { return conditions["server"](c, []string{"stock-1", "active"}) }))
	must(b, within(startLimit, func() error { return conditions["server"](c, []string{"engine-1", "active"}) }))
	return c
}

func figuresBackend(b *testing.B, c *cluster, id string, flags ...string) {
	free, err := freeAddresses(c.ip(200+len(c.backends)), 1)
	must(b, err)
	s := &backend{address: "http://" + free[0]}
	s.name, s.log = id, filepath.Join(c.dir, id+".log")
	s.args = append([]string{"standin", "--id", id, "--listen", free[0]}, flags...)
	for _, v := range c.vms {
		s.args = append(s.args, "--entry", "http://"+v.entry)
	}
	c.backends[id] = s
	must(b, s.start())
}

func must(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

func leaderOf(b *testing.B, c *cluster) *vm {
	before := c.traffic()
	var name string
	must(b, within(startLimit, func() (err error) {
		name, err = c.busiest(before)
		return err
	}))
	v, err := c.vm(name)
	must(b, err)
	return v
}

var figuresClient = &http.Client{
	Timeout:   30 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 2000},
}

// post sends one call of a class and reads its whole answer.
func post(url, class, body string) (time.Duration, error) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Wagtaildyke-Class", class)
	began := time.Now()
	resp, err := figuresClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, answer)
	}
	return time.Since(began), err
}

// BenchmarkFailover measures how long one order at another entry takes when it
// is sent right after the leader was killed or paused.
func BenchmarkFailover(b *testing.B) {
	for name, strike := range map[string]func(*vm) error{
		"killed": func(v *vm) error { return v.kill() },
		"paused": func(v *vm) error { return v.pause() },
	} {
		b.Run(name, func(b *testing.B) {
			var worst time.Duration
			for b.Loop() {
				b.StopTimer()
				c := figuresCluster(b, 3, 3)
				leader := leaderOf(b, c)
				i := slices.IndexFunc(c.vms, func(v *vm) bool { return v != leader })
				url := "http://" + c.vms[i].entry + "/v1/services/stock/x"
				_, err := post(url, "order", "x")
				must(b, err)
				b.StartTimer()
				must(b, strike(leader))
				took, err := post(url, "order", "y")
				must(b, err)
				worst = max(worst, took)
				b.StopTimer()
				c.close()
				b.StartTimer()
			}
			b.ReportMetric(worst.Seconds()*1000, "worst-ms")
		})
	}
}

// BenchmarkChangeInForce measures a change of the table until it is in force on
// each of 8 entries.
func BenchmarkChangeInForce(b *testing.B) {
	c := figuresCluster(b, 8, 3)
	csv := "class,weight,place,concurrency,rate_per_second,queue,tokens,deadline_ms,targets,idempotent\nshort,%d,0,64,10000,64,0,10000,assistant,yes\n"
	version := uint64(1)
	var worst time.Duration
	for b.Loop() {
		began := time.Now()
		_, err := c.putTable("vm-2", fmt.Sprint("c", version), version, fmt.Sprintf(csv, 1+version%9))
		must(b, err)
		version++
		worst = max(worst, time.Since(began))
	}
	b.ReportMetric(worst.Seconds()*1000, "worst-ms")
}

// BenchmarkOrders compares calls that must not repeat with idempotent ones at
// the same stand-in, sent through one entry.
func BenchmarkOrders(b *testing.B) {
	c := figuresCluster(b, 3, 3)
	url := "http://" + c.vms[0].entry + "/v1/services/stock/x"
	for _, class := range []string{"lookup", "order"} {
		for _, callers := range []int{1, 8, 64} {
			b.Run(fmt.Sprintf("%s/callers=%d", class, callers), func(b *testing.B) {
				took := make([]time.Duration, b.N)
				var next sync.WaitGroup
				began := time.Now()
				for k := range callers {
					next.Go(func() {
						for i := k; i < b.N; i += callers {
							d, err := post(url, class, "x")
							if err != nil {
								b.Error(err)
								return
							}
							took[i] = d
						}
					})
				}
				next.Wait()
				b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "calls/s")
				slices.Sort(took)
				b.ReportMetric(took[len(took)/2].Seconds()*1000, "p50-ms")
				b.ReportMetric(took[len(took)*99/100].Seconds()*1000, "p99-ms")
			})
		}
	}
}

// BenchmarkIdle measures what an idle daemon spends, and the bytes a second
// over the links of all 8.
func BenchmarkIdle(b *testing.B) {
	c := figuresCluster(b, 8, 3)
	leader := leaderOf(b, c)
	for b.Loop() {
		const span = 10 * time.Second
		sent, cpu, lead := sum(c.traffic()), cpuTime(b, c.vms[7]), cpuTime(b, leader)
		t := time.NewTimer(span)
		<-t.C
		b.ReportMetric(float64(sum(c.traffic())-sent)/span.Seconds()/8, "B/s/daemon")
		b.ReportMetric(100*(cpuTime(b, c.vms[7])-cpu).Seconds()/span.Seconds(), "entry-core-%")
		b.ReportMetric(100*(cpuTime(b, leader)-lead).Seconds()/span.Seconds(), "leader-core-%")
		b.ReportMetric(float64(memory(b, c.vms[7]))/(1<<20), "entry-MB")
		b.ReportMetric(float64(memory(b, leader))/(1<<20), "leader-MB")
	}
}

func sum(traffic map[link]int64) int64 {
	total := int64(0)
	for _, n := range traffic {
		total += n
	}
	return total
}

// cpuTime is the processor time of a process, from its state in /proc.
func cpuTime(b *testing.B, v *vm) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", v.cmd.Process.Pid))
	must(b, err)
	f := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	const ticksPerSecond = 100
	ticks := 0
	for _, field := range f[11:13] {
		n, err := strconv.Atoi(field)
		must(b, err)
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond
}

// memory is the resident memory of a process in bytes.
func memory(b *testing.B, v *vm) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", v.cmd.Process.Pid))
	must(b, err)
	pages, err := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	must(b, err)
	return pages * int64(os.Getpagesize())
}

// BenchmarkStreams holds a thousand streams open through one entry, and
// compares the time to the first byte with a direct call to the same engine.
func BenchmarkStreams(b *testing.B) {
	c := figuresCluster(b, 1, 1)
	entry := "http://" + c.vms[0].entry
	for b.Loop() {
		direct := firstByte(b, c.backends["engine-1"].address)
		through := firstByte(b, entry)
		b.ReportMetric((through-direct).Seconds()*1000, "added-first-byte-ms")
		b.ReportMetric(through.Seconds()/direct.Seconds(), "first-byte-ratio")
		const streams = 1000
		before, cpu := memory(b, c.vms[0]), cpuTime(b, c.vms[0])
		began := time.Now()
		bodies := openStreams(b, entry, streams, 100)
		b.ReportMetric(float64(memory(b, c.vms[0])-before)/streams/1024, "KB/stream")
		for _, body := range bodies {
			data, err := io.ReadAll(body)
			must(b, err)
			if !bytes.HasSuffix(data, []byte("data: [DONE]\n\n")) {
				b.Fatal("a stream is not whole")
			}
			body.Close()
		}
		spent := cpuTime(b, c.vms[0]) - cpu
		b.ReportMetric(100*spent.Seconds()/time.Since(began).Seconds(), "core-%")
		b.ReportMetric(float64(spent.Microseconds())/(streams*100), "us/event")
	}
}

func openStreams(b *testing.B, base string, n, tokens int) []io.ReadCloser {
	out := make([]io.ReadCloser, n)
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			body := fmt.Sprintf(`{"model":"assistant","stream":true,"max_tokens":%d,"messages":[]}`, tokens)
			resp, err := figuresClient.Post(base+"/v1/chat/completions", "application/json", strings.NewReader(body))
			if err != nil || resp.StatusCode != http.StatusOK {
				b.Errorf("stream: %v %v", resp, err)
				return
			}
			out[i] = resp.Body
		})
	}
	all.Wait()
	if b.Failed() {
		b.FailNow()
	}
	return out
}

// firstByte is the median time to the first byte of a stream over some calls.
func firstByte(b *testing.B, base string) time.Duration {
	var all []time.Duration
	for range 21 {
		began := time.Now()
		body := openStreams(b, base, 1, 1)[0]
		_, err := body.Read(make([]byte, 1))
		must(b, err)
		all = append(all, time.Since(began))
		_, err = io.ReadAll(body)
		must(b, err)
		body.Close()
	}
	slices.Sort(all)
	return all[len(all)/2]
}
