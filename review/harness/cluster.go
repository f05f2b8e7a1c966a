//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The bounds of the users' small installations.
const (
	contact     = 3000 * time.Millisecond // ContactMs
	drainTime   = 2000 * time.Millisecond // DrainTimeoutMs
	configApply = 2000 * time.Millisecond // ConfigApplyMs
	heartbeat   = 1200 * time.Millisecond // HeartbeatMs
)

// cluster is a deployment: three replicas and some entries, each a process with a loopback
// address of its own.
type cluster struct {
	rec  *record
	root string
	dir  string
	// net is the second byte of all addresses of the deployment.
	net int
	// ports are peers, operator, frontend, readiness, control, directory, metrics.
	ports [7]int

	daemonsMu sync.Mutex
	daemons   []*daemon

	mu      sync.Mutex
	workers []*worker
	done    chan struct{}
}

const (
	peersPort = iota
	operatorPort
	frontendPort
	readyPort
	controlPort
	directoryPort
	metricsPort
)

// daemon is one machine of the system with its process.
type daemon struct {
	c       *cluster
	name    string
	ip      string
	replica bool
	zone    string

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed once the process has ended.
	ended chan struct{}
}

func newCluster(root string, rec *record) (*cluster, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "wagtaildyke")); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "wagtaildyke-review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, root: root, dir: dir, net: 41 + rand.IntN(200), done: make(chan struct{})}
	for i := range c.ports {
		if c.ports[i], err = c.freePort(i); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// freePort returns a port below the range of outgoing connections that is free on an
// address of the deployment.
func (c *cluster) freePort(i int) (int, error) {
	for range 100 {
		port := 20000 + 1000*i + rand.IntN(1000)
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", c.machineIP(1), port))
		if err == nil {
			l.Close()
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

func (c *cluster) machineIP(n int) string { return fmt.Sprintf("127.%d.0.%d", c.net, n) }

// start starts replicas and entries for the first time, all at once.
func (c *cluster) start(replicas, entries int) {
	for i := range replicas {
		c.add(fmt.Sprintf("replica-%d", i+1), true)
	}
	for i := range entries {
		c.add(fmt.Sprintf("entry-%d", i+1), false)
	}
	for _, d := range c.all() {
		d.start(true)
	}
}

// add adds a machine at a new address. Its process is not started.
func (c *cluster) add(name string, replica bool) *daemon {
	n := len(c.all())
	d := &daemon{c: c, name: name, ip: c.machineIP(n + 1), replica: replica, zone: fmt.Sprintf("zone-%d", n%2+1)}
	c.daemonsMu.Lock()
	defer c.daemonsMu.Unlock()
	c.daemons = append(c.daemons, d)
	return d
}

// all returns the machines in the order in which they were added.
func (c *cluster) all() []*daemon {
	c.daemonsMu.Lock()
	defer c.daemonsMu.Unlock()
	return slices.Clone(c.daemons)
}

func (c *cluster) replicas() []*daemon {
	var out []*daemon
	for _, d := range c.all() {
		if d.replica {
			out = append(out, d)
		}
	}
	return out
}

func (c *cluster) entries() []*daemon {
	var out []*daemon
	for _, d := range c.all() {
		if !d.replica {
			out = append(out, d)
		}
	}
	return out
}

// settings returns what deploy/settings.jsonc.tmpl renders to for a machine like those of
// the users' small installations. The operator's listener has the machine's own address,
// since all machines share one loopback interface.
func (d *daemon) settings(bootstrap bool) map[string]any {
	at := func(port int) string { return fmt.Sprintf("%s:%d", d.ip, d.c.ports[port]) }
	// The seeds are the first three replicas, whatever happens to them later.
	var seeds []string
	for _, r := range d.c.replicas()[:3] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", r.ip, d.c.ports[controlPort]))
	}
	platform := map[string]any{
		"metrics": at(metricsPort), "heartbeat_ms": 1200, "grace_period_seconds": 8,
		"retry_ratio": 0.2, "retry_extra": 56, "retry_window_seconds": 10,
	}
	s := map[string]any{
		"cluster": "wagtaildyke", "vm": d.ip, "failure_domain": d.zone,
		"discovery": map[string]any{"seeds": seeds, "peers_port": d.c.ports[peersPort], "bootstrap": bootstrap},
		"peers":     map[string]any{"listen": at(peersPort), "allow_plaintext": true},
		"operator":  map[string]any{"listen": at(operatorPort)},
		"platform":  platform,
		"log":       map[string]any{"format": "json"},
	}
	if d.replica {
		s["replica"] = map[string]any{"data_folder": filepath.Join(d.c.dir, d.name)}
		platform["control_plane"], platform["directory"] = at(controlPort), at(directoryPort)
	} else {
		platform["frontend"], platform["readiness"] = at(frontendPort), at(readyPort)
	}
	return s
}

// start starts the process with the command of the deploy file.
func (d *daemon) start(bootstrap bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	data, err := json.MarshalIndent(d.settings(bootstrap), "", "  ")
	if err != nil {
		fail("%v", err)
	}
	file := filepath.Join(d.c.dir, d.name+".jsonc")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		fail("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(d.c.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	defer log.Close()
	d.cmd = exec.Command(filepath.Join(d.c.root, "target", "wagtaildyke"), "serve")
	d.cmd.Dir = d.c.root
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WAGTAILDYKE_SETTINGS=" + file}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		fail("%v", err)
	}
	d.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		err := cmd.Wait()
		d.c.rec.log("%s: process %d ended: %v", d.name, cmd.Process.Pid, err)
		close(ended)
	}(d.cmd, d.ended)
	d.c.rec.note("%s: started at %s, process %d", d.name, d.ip, d.cmd.Process.Pid)
}

// signal sends a signal to the process. It does not wait for its effect.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.cmd.Process.Signal(s); err != nil {
		fail("%s: %v", d.name, err)
	}
}

// kill ends the processes with SIGKILL, all at the same moment.
func kill(daemons ...*daemon) {
	for _, d := range daemons {
		d.signal(syscall.SIGKILL)
	}
	for _, d := range daemons {
		<-d.ended
	}
}

// wipe loses the disk of a machine whose process has ended.
func (d *daemon) wipe() {
	if err := os.RemoveAll(filepath.Join(d.c.dir, d.name)); err != nil {
		fail("%v", err)
	}
	d.c.rec.note("%s: lost its disk", d.name)
}

// close ends all processes and workers and removes the temporary folder.
func (c *cluster) close() {
	close(c.done)
	for _, d := range c.all() {
		d.mu.Lock()
		if d.cmd != nil {
			_ = d.cmd.Process.Kill()
			<-d.ended
		}
		d.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		w.stop()
	}
	if os.Getenv("KEEP") != "" {
		c.rec.note("kept %s", c.dir)
		return
	}
	_ = os.RemoveAll(c.dir)
}

// address returns the URL of a listener of the machine.
func (d *daemon) address(port int) string { return fmt.Sprintf("http://%s:%d", d.ip, d.c.ports[port]) }

// newClient returns a client whose requests each have a connection of their own.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// call sends one call of a worker or the operator to a daemon and returns the status; 0
// without a response.
func (d *daemon) call(method, path string, body any) (status int, data []byte) {
	var reader io.Reader
	switch b := body.(type) {
	case nil:
	case []byte:
		reader = bytes.NewReader(b)
	default:
		encoded, err := json.Marshal(b)
		if err != nil {
			fail("%v", err)
		}
		reader = bytes.NewReader(encoded)
	}
	req, err := http.NewRequest(method, d.address(controlPort)+path, reader)
	if err != nil {
		fail("%v", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := newClient(time.Second).Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// putConfig sends a config as the operator does, to one daemon after the other until one
// acknowledges it, and returns the time of the ack.
func (c *cluster) putConfig(version int, config map[string]any) time.Time {
	config["Version"] = version
	config["Limits"] = map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
	replicas := c.replicas()
	for try := range 40 {
		d := replicas[(version+try)%len(replicas)]
		status, _ := d.call(http.MethodPost, "/wagtaildyke/Config.Replace", config)
		c.rec.note("operator: config %d at %s: %d", version, d.name, status)
		if status == http.StatusOK {
			return time.Now()
		}
		if status >= 400 && status < 500 {
			fail("config %d was refused with %d", version, status)
		}
		time.Sleep(200 * time.Millisecond)
	}
	fail("config %d was not acknowledged", version)
	return time.Time{}
}

// readConfig reads the config back from any daemon and returns its version; 0 without an
// answer.
func (c *cluster) readConfig() int {
	for _, d := range c.replicas() {
		status, data := d.call(http.MethodGet, "/wagtaildyke/Config.Get", nil)
		var config struct{ Version int }
		if status == http.StatusOK && json.Unmarshal(data, &config) == nil {
			return config.Version
		}
	}
	return 0
}

// awaitReady waits until all entries say that they are ready.
func (c *cluster) awaitReady() {
	until := time.Now().Add(20 * time.Second)
	for _, d := range c.entries() {
		for !d.ready() {
			if time.Now().After(until) {
				fail("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// ready reports whether an entry says that it is ready.
func (d *daemon) ready() bool {
	resp, err := newClient(time.Second).Get(d.address(readyPort) + "/wagtaildyke/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"Name": name, "Host": "shop.example", "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 3000, "TargetLatencyMs": 300,
		"Priority": 0, "Service": service, "MaxAttempts": 2, "Sticky": false, "Resumable": false,
	}
}

func service(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/health", "MaxConnections": 100, "Protocol": "h1", "Tls": false}
}

func config(routes, services []map[string]any) map[string]any {
	return map[string]any{"Routes": routes, "Services": services}
}
