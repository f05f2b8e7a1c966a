package scenario_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/settings"
)

// fleet is a deployment of the platform's front: replicas, entries and servers of one plain
// service, whose processes share the ports and have a loopback address each.
type fleet struct {
	t                       *testing.T
	dir, net                string
	peersPort, controlPort  int
	hiddenPort              int
	frontendPort, readyPort int
	replicas, entries       []*fleetVM
	// fronts carry the sessions between VMs, by the address of the VM; empty without relays.
	fronts                    map[string]*front
	mu                        sync.Mutex
	servers                   []*fleetServer
	disturbances              []time.Time
	sendingClients, heartbeat sync.WaitGroup
	done                      chan struct{}
	// tune changes the settings of each VM before it starts; nil for none.
	tune func(*settings.Settings)
}

// fleetVM is one VM of a fleet.
type fleetVM struct {
	process
	ip, data string
}

// The bounds of a fleet.
const (
	fleetHeartbeat = 1200 * time.Millisecond
	// fleetDrainTimeout is how long a server may get requests after the acknowledgement of
	// its departure.
	fleetDrainTimeout = 2 * time.Second
	// fleetContact is the time after a disturbance in which bounds don't hold.
	fleetContact = 3 * time.Second
	// fleetRestart is the time after which a killed process is started again.
	fleetRestart = 500 * time.Millisecond
)

// startFleet starts all processes and waits until the entries are ready.
func startFleet(t *testing.T, replicas, entries int) *fleet {
	f := newFleet(t, replicas, entries)
	f.startAll()
	f.putRoutes()
	f.awaitEntries()
	return f
}

// newFleet returns a fleet whose processes don't run yet.
func newFleet(t *testing.T, replicas, entries int) *fleet {
	f := &fleet{t: t, dir: t.TempDir(), net: fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, clusters.Add(1)), done: make(chan struct{})}
	for i, port := range []*int{&f.peersPort, &f.controlPort, &f.frontendPort, &f.readyPort, &f.hiddenPort} {
		*port = f.freePort(i)
	}
	for i := range replicas + entries {
		v := f.newVM(i+1, i < replicas)
		if i < replicas {
			f.replicas = append(f.replicas, v)
		} else {
			f.entries = append(f.entries, v)
		}
	}
	t.Cleanup(f.stop)
	return f
}

func (f *fleet) newVM(number int, replica bool) *fleetVM {
	v := &fleetVM{ip: fmt.Sprintf("%s.%d", f.net, number)}
	v.name = fmt.Sprintf("vm-%d", number)
	v.log = filepath.Join(f.dir, v.name+".log")
	v.args = []string{"serve", "--settings", filepath.Join(f.dir, v.name+".jsonc")}
	if replica {
		v.data = filepath.Join(f.dir, v.name+".data")
	}
	return v
}

func (f *fleet) startAll() {
	for _, v := range slices.Concat(f.replicas, f.entries) {
		f.start(v, true)
	}
}

func (f *fleet) awaitEntries() {
	for _, v := range f.entries {
		f.await("http://"+f.address(v, f.readyPort)+"/wagtaildyke/ready", http.MethodGet, nil)
	}
}

// currentReplicas returns the replicas that have not been replaced.
func (f *fleet) currentReplicas() []*fleetVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.replicas)
}

// freePort returns a port below the range of outgoing connections.
func (f *fleet) freePort(i int) int {
	for range 100 {
		port := 21000 + 1000*i + rand.IntN(1000)
		if ln, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", f.net, port)); err == nil {
			ln.Close()
			return port
		}
	}
	f.t.Fatal("no free port")
	return 0
}

func (f *fleet) address(v *fleetVM, port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

// start writes the settings of a VM and starts its process.
func (f *fleet) start(v *fleetVM, bootstrap bool) {
	s := settings.Defaults()
	s.Cluster, s.VM, s.FailureDomain = "scenario", v.ip, "a"
	s.Discovery = &settings.Discovery{PeersPort: f.peersPort, Bootstrap: bootstrap}
	replicas := f.currentReplicas()
	for _, r := range replicas[:min(3, len(replicas))] {
		s.Discovery.Seeds = append(s.Discovery.Seeds, f.address(r, f.controlPort))
	}
	s.Peers = settings.Peers{Listen: f.address(v, f.peersPort), AllowPlaintext: true}
	if f.fronts[v.ip] != nil {
		s.Peers.Listen = f.address(v, f.hiddenPort)
	}
	s.Operator = settings.Operator{Listen: "127.0.0.1:0"}
	s.Log.Format = "json"
	s.Platform = &settings.Platform{
		HeartbeatMillis: float64(fleetHeartbeat.Milliseconds()), GracePeriodSeconds: 8,
		RetryRatio: 0.2, RetryExtra: 56, RetryWindowSeconds: 10, AddressLifetimeMillis: 2000,
	}
	if v.data != "" {
		s.Replica = &settings.Replica{DataFolder: v.data, CompactEveryEntries: 20000}
		s.Platform.ControlPlane = f.address(v, f.controlPort)
	} else {
		s.Platform.Frontend, s.Platform.Readiness = f.address(v, f.frontendPort), f.address(v, f.readyPort)
	}
	if f.tune != nil {
		f.tune(&s)
	}
	data, err := json.Marshal(s)
	qt.Assert(f.t, err, qt.IsNil)
	qt.Assert(f.t, os.WriteFile(v.args[2], data, 0o600), qt.IsNil)
	qt.Assert(f.t, v.process.start(), qt.IsNil)
}

func (f *fleet) stop() {
	close(f.done)
	f.sendingClients.Wait()
	for _, v := range slices.Concat(f.replicas, f.entries) {
		v.stop()
	}
	for _, fr := range f.fronts {
		fr.close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		s.http.Close()
	}
	f.heartbeat.Wait()
	if f.t.Failed() {
		for _, v := range slices.Concat(f.replicas, f.entries) {
			data, err := os.ReadFile(v.log)
			f.t.Logf("log of %s (%v): ... %s", v.name, err, data[max(0, len(data)-4000):])
		}
	}
}

// await repeats a request until it is answered with 200.
func (f *fleet) await(url, method string, body []byte) {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		req, err := http.NewRequest(method, url, bytes.NewReader(body))
		qt.Assert(f.t, err, qt.IsNil)
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	f.t.Fatalf("%s is not answered with 200", url)
}

func (f *fleet) putRoutes() {
	body := `{"Version":3,"Routes":[{"Name":"r","Host":"h.example","PathPrefix":"/a/","Kind":"unsafe","TimeoutMs":1500,"Service":"s","MaxAttempts":2}],` +
		`"Services":[{"Name":"s","MaxConnections":100}],"Limits":{}}`
	f.await("http://"+f.address(f.replicas[0], f.controlPort)+"/wagtaildyke/Config.Replace", http.MethodPost, []byte(body))
}

// disturb records a disturbance of the replicas, after which bounds don't hold for a while.
func (f *fleet) disturb() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbances = append(f.disturbances, time.Now())
}

// calm reports whether the replicas were undisturbed in the time before a moment.
func (f *fleet) calm(at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(f.disturbances, func(d time.Time) bool { return d.Before(at) && at.Sub(d) < fleetContact })
}

// send sends requests to all entries at a steady rate, each on a new connection, until the
// fleet stops.
func (f *fleet) send(interval time.Duration) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, v := range f.entries {
		f.sendingClients.Go(func() {
			for {
				select {
				case <-f.done:
					return
				case <-time.After(interval):
				}
				f.sendingClients.Go(func() { f.sendOne(client, v) })
			}
		})
	}
}

// sendOne sends one request. Its answer does not matter here: servers count what reaches
// them.
func (f *fleet) sendOne(client *http.Client, v *fleetVM) {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.address(v, f.frontendPort)+"/a/x", http.NoBody)
	if err != nil {
		return
	}
	req.Host = "h.example"
	req.Header.Set("Wagtaildyke-Request-Id", fmt.Sprintf("%016x", rand.Uint64()))
	req.Header.Set("Wagtaildyke-Deadline-Ms", "1500")
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}
