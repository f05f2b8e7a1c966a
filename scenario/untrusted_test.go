package scenario_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/settings"
)

// Bounds of a process, from the machines that it must run on: an entry has 184 MB and 4,100
// descriptors, a small site 284 MB. Tests of descriptors lower that limit, of which a quarter
// stays free for backend servers, other VMs and files.
const (
	entryMemory      = 184 << 20
	siteMemory       = 284 << 20
	entryFiles       = 4_100
	loweredFiles     = 800
	clientsFileShare = 0.75
)

// settleTime is how long the clients stay after they have sent their bytes.
const settleTime = time.Second

// answerLimit bounds the repeats of an ordinary request until it is answered.
const answerLimit = 10 * time.Second

// sendingTime bounds the wait until the clients have sent their bytes.
const sendingTime = 8 * time.Second

func legalLimits(s *settings.Settings) {
	s.Limits.MaxHeaderBytes = legalHeadBytes
	s.Limits.MaxBodyBytes = legalBodyBytes
	s.Limits.HeaderTimeoutMillis = 3_000
	s.Limits.IdleTimeoutMillis = 15_000
	s.Limits.BodyTimeoutMillis = 30_000
	s.Limits.MemoryBytes = entryMemory
	if s.Replica != nil {
		s.Limits.MemoryBytes = siteMemory
	}
}

// untrustedSite is one replica and one entry with a front end and a backend server.
type untrustedSite struct {
	entry, replica *process
	// front is where untrusted clients connect on the entry, control on the replica.
	front, control target
	// ready is the address of the readiness listener; empty without one.
	ready string
	// ordinary sends one ordinary request and returns its status.
	ordinary func(body io.Reader, header string) (int, error)
}

// platformSite starts a replica and an entry with the platform's front end.
func platformSite(t *testing.T, files int) untrustedSite {
	f := newFleet(t, 1, 1)
	f.tune = legalLimits
	f.entries[0].maxFiles, f.replicas[0].maxFiles = files, files
	f.startAll()
	f.putRoutes()
	f.awaitEntries()
	f.addServer()
	front := target{
		address: f.address(f.entries[0], f.frontendPort), path: "/a/x",
		header: "Wagtaildyke-Request-Id: 0123456789abcdef\r\n",
	}
	control := target{address: f.address(f.replicas[0], f.controlPort), path: "/wagtaildyke/Config.Replace"}
	ready := f.address(f.entries[0], f.readyPort)
	return untrustedSite{&f.entries[0].process, &f.replicas[0].process, front, control, ready, front.send}
}

// entrySite starts a replica and an entry with the product's own front end.
func entrySite(t *testing.T, files int) untrustedSite {
	c := newCluster(t.TempDir())
	c.tune = legalLimits
	t.Cleanup(c.close)
	qt.Assert(t, c.build(2, 1, 1), qt.IsNil)
	for _, v := range c.vms {
		v.maxFiles = files
		qt.Assert(t, v.process.start(), qt.IsNil)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(c.tails())
		}
	})
	table, err := os.ReadFile("testdata/table.csv")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, within(exitLimit, func() error {
		_, err := c.putTable("vm-1", "t", 0, string(table))
		return err
	}), qt.IsNil)
	entry := c.vms[1]
	c.announce(t, entry.entry)
	front := target{address: entry.entry, path: "/v1/services/stock/x", header: "Wagtaildyke-Class: lookup\r\n"}
	control := target{address: entry.entry, path: "/v1/backend-servers"}
	return untrustedSite{&entry.process, &c.vms[0].process, front, control, "", front.send}
}

// announce runs a server of the service stock that announces itself to an entry.
func (c *cluster) announce(t *testing.T, entry string) {
	ln, err := net.Listen("tcp", c.ip(200)+":0")
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		_, _ = io.WriteString(w, "done")
	})}
	go func() { _ = server.Serve(ln) }()
	body, err := json.Marshal(map[string]any{
		"id": "stock-1", "incarnation": 1, "address": "http://" + ln.Addr().String(), "failure_domain": "a",
		"kind": "service", "services": []string{"stock"}, "slots": 16, "state": "active",
	})
	qt.Assert(t, err, qt.IsNil)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		client := &http.Client{Timeout: time.Second}
		for {
			if resp, err := client.Post("http://"+entry+"/v1/backend-servers", "application/json", bytes.NewReader(body)); err == nil {
				resp.Body.Close()
				resp.Body.Close()
			}
			select {
			case <-done:
				return
			case <-time.After(time.Second / 2):
			}
		}
	}()
	t.Cleanup(func() {
		close(done)
		<-ended
		server.Close()
	})
}

// send sends one request on a connection of its own, with a head of the given size if lines
// are given, and returns the status.
func (t target) send(body io.Reader, lines string) (int, error) {
	data, err := io.ReadAll(body)
	if err != nil {
		return 0, err
	}
	conn, err := net.DialTimeout("tcp", t.address, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	head := t.head(fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n", len(data)))
	request := append([]byte(head+lines+"\r\n"), data...)
	if _, err := conn.Write(request); err != nil {
		return 0, err
	}
	answer, err := io.ReadAll(conn)
	if len(answer) < len("HTTP/1.1 200") {
		return 0, fmt.Errorf("no answer: %v", err)
	}
	return strconv.Atoi(string(answer[9:12]))
}

// awaitAnswer repeats a request until it is answered with 200.
func (s untrustedSite) awaitAnswer(t *testing.T, body []byte, lines string) {
	err := within(answerLimit, func() error {
		status, err := s.ordinary(bytes.NewReader(body), lines)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
		return err
	})
	qt.Check(t, err, qt.IsNil, qt.Commentf("an ordinary request"))
}

// endure plays sets of clients against a listener of a process, and checks that the process
// lives within its bounds and that an ordinary request is answered while the clients stay.
func (s untrustedSite) endure(t *testing.T, p *process, memory int64, files int, address string, sets ...clientSet) {
	c := qt.New(t)
	s.awaitAnswer(t, []byte("ordinary"), "")
	peakFiles := watchFiles(p)
	sent, stop := play(address, sets...)
	select {
	case <-sent:
	case <-time.After(sendingTime):
	}
	time.Sleep(settleTime)
	s.awaitAnswer(t, []byte("ordinary"), "")
	stop()
	most := peakFiles()
	c.Assert(p.runs(), qt.IsTrue, qt.Commentf("the process has ended"))
	peak, err := peakMemory(p.cmd.Process.Pid)
	c.Assert(err, qt.IsNil)
	t.Logf("peak memory %d MB of %d, %d descriptors of %d", peak>>20, memory>>20, most, files)
	c.Check(peak < memory, qt.IsTrue, qt.Commentf("peak memory %d MB, bound %d MB", peak>>20, memory>>20))
	c.Check(most < files, qt.IsTrue, qt.Commentf("%d descriptors, bound %d", most, files))
}

// peakMemory returns the peak resident memory of a process.
func peakMemory(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, fmt.Errorf("no VmHWM of process %d", pid)
	}
	kb, err := strconv.ParseInt(fields[0], 10, 64)
	return kb << 10, err
}

// watchFiles counts the descriptors of a process until the result is called, which returns
// the largest number seen.
func watchFiles(p *process) func() int {
	done, most := make(chan struct{}), make(chan int)
	folder := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	go func() {
		seen := 0
		for {
			entries, _ := os.ReadDir(folder)
			seen = max(seen, len(entries))
			select {
			case <-done:
				most <- seen
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	return func() int {
		close(done)
		return <-most
	}
}

// startSite starts a site whose processes have a limit on descriptors; 0 for that of the test.
type startSite func(t *testing.T, files int) untrustedSite

func endureAtEntry(t *testing.T, start startSite, sets func(target) []clientSet) {
	s := start(t, 0)
	s.endure(t, s.entry, entryMemory, entryFiles, s.front.address, sets(s.front)...)
}

func bodySets(t target) []clientSet  { return []clientSet{wholeBodies(t)} }
func chunkSets(t target) []clientSet { return []clientSet{chunkedBodies(t)} }

func headSets(t target) []clientSet { return []clientSet{partHeads(t), wholeHeads(t)} }

func oddSets(t target) []clientSet { return []clientSet{oddHeads(t)} }

func mixedSets(t target) []clientSet {
	sets := []clientSet{wholeBodies(t), chunkedBodies(t), partHeads(t), wholeHeads(t), oddHeads(t)}
	return slices.Concat(sets, endlessHeads(t), emptyLines(t))
}

// Bodies that stop one byte short must not exhaust the memory of an entry.
func TestPartBodiesAtThePlatform(t *testing.T) { endureAtEntry(t, platformSite, bodySets) }
func TestPartBodiesAtTheEntry(t *testing.T)    { endureAtEntry(t, entrySite, bodySets) }

// The same bodies in chunks have no stated length.
func TestPartChunkedBodiesAtThePlatform(t *testing.T) { endureAtEntry(t, platformSite, chunkSets) }
func TestPartChunkedBodiesAtTheEntry(t *testing.T)    { endureAtEntry(t, entrySite, chunkSets) }

// A parsed head of very many short lines takes many times the memory of its bytes.
func TestHeadsOfShortLinesAtThePlatform(t *testing.T) { endureAtEntry(t, platformSite, headSets) }
func TestHeadsOfShortLinesAtTheEntry(t *testing.T)    { endureAtEntry(t, entrySite, headSets) }

// Malformed lines must cost no more than others.
func TestHeadsOfOddLinesAtThePlatform(t *testing.T) { endureAtEntry(t, platformSite, oddSets) }
func TestHeadsOfOddLinesAtTheEntry(t *testing.T)    { endureAtEntry(t, entrySite, oddSets) }

// Heads over the limit and without end must be ended.
func TestEndlessHeadsAtThePlatform(t *testing.T) { endureAtEntry(t, platformSite, endlessHeads) }
func TestEndlessHeadsAtTheEntry(t *testing.T)    { endureAtEntry(t, entrySite, endlessHeads) }

// Empty lines before a request must not go on without end.
func TestEmptyLinesAtThePlatform(t *testing.T) { endureAtEntry(t, platformSite, emptyLines) }
func TestEmptyLinesAtTheEntry(t *testing.T)    { endureAtEntry(t, entrySite, emptyLines) }

// All of these clients together must not cost more than each kind alone.
func TestMixedClientsAtThePlatform(t *testing.T) { endureAtEntry(t, platformSite, mixedSets) }
func TestMixedClientsAtTheEntry(t *testing.T)    { endureAtEntry(t, entrySite, mixedSets) }

// Connections without a request must leave descriptors for other callers and for backend
// servers.
func TestConnectionsWithoutRequestsAtThePlatform(t *testing.T) { endureIdle(t, platformSite) }
func TestConnectionsWithoutRequestsAtTheEntry(t *testing.T)    { endureIdle(t, entrySite) }

func endureIdle(t *testing.T, start startSite) {
	s := start(t, loweredFiles)
	s.endure(t, s.entry, entryMemory, clientsFileShare*loweredFiles, s.front.address, idleParts(s.front)...)
}

// The readiness listener must answer while clients take all connections that they can get,
// its own included: the platform would take the entry out of service.
func TestReadinessIsAnsweredBesideUntrustedClients(t *testing.T) {
	s := platformSite(t, loweredFiles)
	_, stopFront := play(s.front.address, idleParts(s.front)...)
	defer stopFront()
	sent, stopReady := play(s.ready, idleParts(s.front)...)
	defer stopReady()
	select {
	case <-sent:
	case <-time.After(sendingTime):
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	err := within(answerLimit, func() error {
		resp, err := client.Get("http://" + s.ready + "/wagtaildyke/ready")
		if err != nil {
			return err
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		return nil
	})
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, s.entry.runs(), qt.IsTrue)
}

// The control plane reads documents of the operator, and thus large bodies too.
func TestPartBodiesAtTheControlPlane(t *testing.T) {
	s := platformSite(t, 0)
	s.endure(t, s.replica, siteMemory, entryFiles, s.control.address, wholeBodies(s.control), chunkedBodies(s.control))
}

// A single request at the limits is legal and must be served when nobody else asks for
// anything.
func TestRequestsAtTheLimitsAreServedAtThePlatform(t *testing.T) { serveAtLimits(t, platformSite) }
func TestRequestsAtTheLimitsAreServedAtTheEntry(t *testing.T)    { serveAtLimits(t, entrySite) }

func serveAtLimits(t *testing.T, start startSite) {
	s := start(t, 0)
	s.awaitAnswer(t, nil, "")
	s.awaitAnswer(t, bytes.Repeat([]byte{'x'}, legalBodyBytes), "")
	own := len(s.front.head("Connection: close\r\nContent-Length: 0\r\n")) + len("\r\n")
	s.awaitAnswer(t, nil, shortLines(legalHeadBytes-own))
	s.awaitAnswer(t, nil, "x: "+strings.Repeat("y", legalHeadBytes-own-len("x: \r\n"))+"\r\n")
}
