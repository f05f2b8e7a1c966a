//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errCannotRun is the reason why a case says nothing: the exit code is then 2.
type errCannotRun struct{ err error }

func (e errCannotRun) Error() string { return e.err.Error() }

func cannotRun(format string, args ...any) error { return errCannotRun{fmt.Errorf(format, args...)} }

// Record is the file record.txt of a case.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

func newRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{f: f, began: time.Now()}, err
}

// Say writes a line with the time since the start.
func (r *Record) Say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// folders are the temporary folders of the case.
var folders []string

func removeFolders() {
	for _, folder := range folders {
		os.RemoveAll(folder)
	}
}

// VM is a machine of the deployment: one process of the product at an address of its own.
type VM struct {
	cluster *Cluster
	IP      string
	Replica bool
	Files   int
	folder  string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// Cluster is a small deployment on loopback addresses.
type Cluster struct {
	Rec      *Record
	Folder   string
	Replicas []*VM
	Entries  []*VM
	prefix   string

	peersPort, operatorPort, frontPort, readyPort, controlPort, directoryPort, metricsPort int

	// EntryMemory and ReplicaMemory are limits.memory_bytes.
	EntryMemory, ReplicaMemory float64
}

// newCluster chooses addresses and ports. Nothing is started.
func newCluster(rec *Record, replicas, entries int) (*Cluster, error) {
	folder, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, cannotRun("temporary folder: %v", err)
	}
	folders = append(folders, folder)
	c := &Cluster{Rec: rec, Folder: folder, EntryMemory: 284e6, ReplicaMemory: 280e6}
	c.prefix = fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, 1+time.Now().UnixNano()/1000%250)
	for _, p := range []*int{&c.peersPort, &c.operatorPort, &c.frontPort, &c.readyPort, &c.controlPort, &c.directoryPort, &c.metricsPort} {
		if *p, err = c.freePort(replicas + entries); err != nil {
			return nil, err
		}
	}
	for i := range replicas {
		c.Replicas = append(c.Replicas, c.newVM(i+1, true))
	}
	for i := range entries {
		c.Entries = append(c.Entries, c.newVM(replicas+i+1, false))
	}
	return c, nil
}

// freePort returns a port that is free on the first n addresses.
func (c *Cluster) freePort(n int) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", c.prefix+"1:0")
		if err != nil {
			return 0, cannotRun("no loopback address: %v", err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		free := true
		for i := 2; i <= n; i++ {
			other, err := net.Listen("tcp", net.JoinHostPort(c.prefix+strconv.Itoa(i), strconv.Itoa(port)))
			if err != nil {
				free = false
				break
			}
			other.Close()
		}
		l.Close()
		if free {
			return port, nil
		}
	}
	return 0, cannotRun("no free port")
}

func (c *Cluster) newVM(n int, replica bool) *VM {
	vm := &VM{cluster: c, IP: c.prefix + strconv.Itoa(n), Replica: replica, Files: 4096}
	vm.folder = filepath.Join(c.Folder, strconv.Itoa(n))
	return vm
}

func (vm *VM) addr(port int) string { return net.JoinHostPort(vm.IP, strconv.Itoa(port)) }

// Frontend, Readiness and ControlPlane are the addresses that the VM serves.
func (vm *VM) Frontend() string     { return vm.addr(vm.cluster.frontPort) }
func (vm *VM) Readiness() string    { return vm.addr(vm.cluster.readyPort) }
func (vm *VM) ControlPlane() string { return vm.addr(vm.cluster.controlPort) }

// DataFolder is the folder of the replica's log.
func (vm *VM) DataFolder() string { return filepath.Join(vm.folder, "data") }

// settings renders the settings like deploy/settings.jsonc.tmpl.
func (vm *VM) settings(bootstrap bool) []byte {
	c := vm.cluster
	var seeds []string
	for i, r := range c.Replicas {
		if i < 3 {
			seeds = append(seeds, r.ControlPlane())
		}
	}
	platform := map[string]any{
		"metrics": vm.addr(c.metricsPort), "heartbeat_ms": 1200, "grace_period_seconds": 8,
		"retry_ratio": 0.2, "retry_extra": 54, "retry_window_seconds": 10,
	}
	memory := c.EntryMemory
	s := map[string]any{
		"cluster": "wagtaildyke", "vm": vm.IP, "failure_domain": "zone-a",
		"discovery": map[string]any{"seeds": seeds, "peers_port": c.peersPort, "bootstrap": bootstrap},
		"peers":     map[string]any{"listen": vm.addr(c.peersPort), "allow_plaintext": true},
		"operator":  map[string]any{"listen": vm.addr(c.operatorPort)},
		"platform":  platform,
		"log":       map[string]any{"format": "json"},
	}
	if vm.Replica {
		memory = c.ReplicaMemory
		s["replica"] = map[string]any{"data_folder": vm.DataFolder()}
		platform["control_plane"], platform["directory"] = vm.ControlPlane(), vm.addr(c.directoryPort)
	} else {
		platform["frontend"], platform["readiness"] = vm.Frontend(), vm.Readiness()
	}
	s["limits"] = map[string]any{"memory_bytes": memory}
	data, _ := json.MarshalIndent(s, "", "  ")
	return data
}

// Start starts the process. bootstrap is true only at the first start of all.
func (vm *VM) Start(bootstrap bool) error {
	if vm.Replica {
		if err := os.MkdirAll(vm.DataFolder(), 0o755); err != nil {
			return cannotRun("data folder: %v", err)
		}
	} else if err := os.MkdirAll(vm.folder, 0o755); err != nil {
		return cannotRun("folder: %v", err)
	}
	file := filepath.Join(vm.folder, "settings.jsonc")
	if err := os.WriteFile(file, vm.settings(bootstrap), 0o644); err != nil {
		return cannotRun("settings: %v", err)
	}
	out, err := os.OpenFile(filepath.Join(vm.folder, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return cannotRun("log: %v", err)
	}
	defer out.Close()
	// The shell only sets the limit on descriptors, which the platform sets for its machines.
	cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/wagtaildyke serve", vm.Files))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WAGTAILDYKE_SETTINGS=" + file}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return cannotRun("start target/wagtaildyke: %v", err)
	}
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.cmd, vm.ended = cmd, make(chan struct{})
	ended := vm.ended
	vm.cluster.Rec.Say("started %s pid %d", vm.IP, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		vm.cluster.Rec.Say("ended %s pid %d: %v", vm.IP, cmd.Process.Pid, err)
		close(ended)
	}()
	return nil
}

// Pid returns the id of the running process.
func (vm *VM) Pid() int {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.cmd.Process.Pid
}

// Running reports whether the process has not ended.
func (vm *VM) Running() bool {
	vm.mu.Lock()
	ended := vm.ended
	vm.mu.Unlock()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process.
func (vm *VM) Signal(s syscall.Signal) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.cluster.Rec.Say("signal %v to %s", s, vm.IP)
	_ = vm.cmd.Process.Signal(s)
}

// Kill kills the process and waits for its end.
func (vm *VM) Kill() {
	vm.mu.Lock()
	cmd, ended := vm.cmd, vm.ended
	vm.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

// all returns all machines.
func (c *Cluster) all() []*VM { return append(append([]*VM{}, c.Replicas...), c.Entries...) }

// Start starts all machines for the first time.
func (c *Cluster) Start() error {
	for _, vm := range c.all() {
		if err := vm.Start(true); err != nil {
			return err
		}
	}
	return nil
}

// End kills all processes and removes the folder.
func (c *Cluster) End() {
	for _, vm := range c.all() {
		vm.Kill()
	}
	removeFolders()
}

// status returns a field of /proc/PID/status in bytes.
func (vm *VM) status(field string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", vm.Pid()))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n << 10
		}
	}
	return 0
}

// Resident returns the resident memory of the process.
func (vm *VM) Resident() int64 { return vm.status("VmRSS") }

// Descriptors returns the number of open descriptors of the process.
func (vm *VM) Descriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", vm.Pid()))
	if err != nil {
		return 0
	}
	return len(list)
}

// DiskUse returns the size of the files of a replica's data folder.
func (vm *VM) DiskUse() int64 {
	total := int64(0)
	_ = filepath.Walk(vm.DataFolder(), func(_ string, info os.FileInfo, err error) error {
		if err == nil && info.Mode().IsRegular() {
			total += info.Size()
		}
		return nil
	})
	return total
}

// Ready asks an entry whether it is ready.
func (vm *VM) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + vm.Readiness() + "/wagtaildyke/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all entries are ready.
func (c *Cluster) AwaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, vm := range c.Entries {
		for !vm.Ready() {
			if time.Now().After(until) {
				return cannotRun("%s is not ready after %v", vm.IP, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// call makes one call to the control plane and follows a redirect twice.
func call(method, url string, body []byte, timeout time.Duration) (status int, answer []byte, err error) {
	client := http.Client{Timeout: timeout}
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// PutConfig sends a config until it is acknowledged, to one replica after the other.
func (c *Cluster) PutConfig(config []byte, limit time.Duration) error {
	until := time.Now().Add(limit)
	for i := 0; time.Now().Before(until); i++ {
		vm := c.Replicas[i%len(c.Replicas)]
		status, answer, err := call("POST", "http://"+vm.ControlPlane()+"/wagtaildyke/Config.Replace", config, 2*time.Second)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if err == nil && status/100 == 4 && status != 408 && status != 429 {
			return fmt.Errorf("config refused with %d: %s", status, answer)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("no ack of the config")
}

// ReadConfig reads the version of the config at one replica.
func (vm *VM) ReadConfig() (version uint64, status int, err error) {
	status, answer, err := call("GET", "http://"+vm.ControlPlane()+"/wagtaildyke/Config.Get", nil, 2*time.Second)
	if err != nil || status != http.StatusOK {
		return 0, status, err
	}
	var w struct{ Version uint64 }
	err = json.Unmarshal(answer, &w)
	return w.Version, status, err
}
