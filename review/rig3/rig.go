//go:build review

// Command rig3 runs the scripted cases of the third review: it starts the project's own
// daemons as separate processes on loopback addresses, with stand-ins for backend servers,
// the operator and clients, and checks one rule.
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
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errNotRun is an error of the case itself: nothing can be said about the rule.
type errNotRun struct{ error }

func notRun(format string, args ...any) error { return errNotRun{fmt.Errorf(format, args...)} }

// record is the file record.txt of a case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// deployment is a small deployment: replicas and entries.
type deployment struct {
	rec     *record
	folder  string
	binary  string
	prefix  string // such as 127.41.7.
	ports   ports
	opts    deployOptions
	daemons []*daemon
	version int
	client  *http.Client
}

type ports struct{ peers, operator, frontend, readiness, control, directory int }

type deployOptions struct {
	replicas, entries int
	// memory is limits.memory_bytes of an entry, such as 184e6.
	memory string
	// extra is the retry budget's constant part.
	extra int
	// entryFiles is the limit on the descriptors of an entry; 0 for that of this process.
	entryFiles int
}

// daemon is one VM.
type daemon struct {
	d        *deployment
	ip, file string
	entry    bool
	log      *os.File
	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
}

func newDeployment(rec *record, opts deployOptions) (*deployment, error) {
	binary, err := filepath.Abs("target/wagtaildyke")
	if err != nil {
		return nil, notRun("%v", err)
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, notRun("the build of the deploy file is missing: %v", err)
	}
	folder, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, notRun("%v", err)
	}
	d := &deployment{rec: rec, folder: folder, binary: binary, opts: opts, client: &http.Client{Timeout: 3 * time.Second}}
	d.prefix = fmt.Sprintf("127.%d.%d.", 40+os.Getpid()%200, 1+(os.Getpid()/200)%250)
	for _, p := range []*int{&d.ports.peers, &d.ports.operator, &d.ports.frontend, &d.ports.readiness, &d.ports.control, &d.ports.directory} {
		if *p, err = freePort(); err != nil {
			return nil, notRun("%v", err)
		}
	}
	for i := range opts.replicas + opts.entries {
		if err := d.add(i, i >= opts.replicas); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func freePort() (int, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// add writes the settings of one VM, with the fields that the template of the deploy file
// renders for it.
func (d *deployment) add(i int, entry bool) error {
	ip := fmt.Sprintf("%s%d", d.prefix, 10+i)
	var seeds []string
	for s := range min(3, d.opts.replicas) {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", d.prefix, 10+s, d.ports.control))
	}
	extra := d.opts.extra
	if extra == 0 {
		extra = 54
	}
	platform := map[string]any{
		"heartbeat_ms": 1200, "grace_period_seconds": 8, "retry_ratio": 0.2, "retry_extra": extra, "retry_window_seconds": 10,
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	s := map[string]any{
		"cluster": "wagtaildyke", "vm": ip, "failure_domain": fmt.Sprintf("zone-%d", i%3),
		"discovery": map[string]any{"seeds": seeds, "peers_port": d.ports.peers, "bootstrap": true},
		"peers":     map[string]any{"listen": at(d.ports.peers), "allow_plaintext": true},
		"operator":  map[string]any{"listen": at(d.ports.operator)},
		"platform":  platform,
		"log":       map[string]any{"format": "json"},
	}
	memory := "280e6"
	if entry {
		platform["frontend"], platform["readiness"] = at(d.ports.frontend), at(d.ports.readiness)
		memory = "284e6"
		if d.opts.memory != "" {
			memory = d.opts.memory
		}
	} else {
		platform["control_plane"], platform["directory"] = at(d.ports.control), at(d.ports.directory)
		s["replica"] = map[string]any{"data_folder": filepath.Join(d.folder, ip)}
		if err := os.Mkdir(filepath.Join(d.folder, ip), 0o700); err != nil {
			return notRun("%v", err)
		}
	}
	s["limits"] = map[string]any{"memory_bytes": json.RawMessage(memory)}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return notRun("%v", err)
	}
	m := &daemon{d: d, ip: ip, entry: entry, file: filepath.Join(d.folder, ip+".jsonc")}
	if m.log, err = os.Create(filepath.Join(d.folder, ip+".log")); err != nil {
		return notRun("%v", err)
	}
	d.daemons = append(d.daemons, m)
	if err := os.WriteFile(m.file, data, 0o600); err != nil {
		return notRun("%v", err)
	}
	return nil
}

// endBootstrap rewrites the settings for all later starts.
func (m *daemon) endBootstrap() error {
	data, err := os.ReadFile(m.file)
	if err != nil {
		return err
	}
	return os.WriteFile(m.file, bytes.Replace(data, []byte(`"bootstrap": true`), []byte(`"bootstrap": false`), 1), 0o600)
}

// start starts the daemon with the command of the deploy file.
func (m *daemon) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	cmd := exec.Command(m.d.binary, "serve")
	if n := m.d.opts.entryFiles; m.entry && n > 0 {
		cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" serve`, n), m.d.binary)
	}
	cmd.Env = append(os.Environ(), "WAGTAILDYKE_SETTINGS="+m.file)
	cmd.Stdout, cmd.Stderr = m.log, m.log
	if err := cmd.Start(); err != nil {
		return notRun("start %s: %v", m.ip, err)
	}
	m.cmd, m.ended = cmd, make(chan struct{})
	started.add(cmd)
	ended := m.ended
	go func() {
		err := cmd.Wait()
		m.d.rec.printf("process %s ended: %v", m.ip, err)
		close(ended)
	}()
	return nil
}

func (m *daemon) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

func (m *daemon) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (m *daemon) kill() {
	m.signal(syscall.SIGKILL)
	if m.ended != nil {
		<-m.ended
	}
}

// memory returns the memory that the process itself holds, without the pages of its program
// file, in bytes.
func (m *daemon) memory() (now int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return 0
	}
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	for line := range strings.Lines(string(data)) {
		var kb int64
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &kb); n == 1 {
			now = kb << 10
		}
	}
	return now
}

// files returns the number of open descriptors of the process.
func (m *daemon) files() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return 0
	}
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.cmd.Process.Pid))
	return len(list)
}

func (d *deployment) entries() []*daemon { return d.daemons[d.opts.replicas:] }

func (d *deployment) replicas() []*daemon { return d.daemons[:d.opts.replicas] }

func (d *deployment) controls() []string {
	var out []string
	for _, m := range d.replicas() {
		out = append(out, fmt.Sprintf("%s:%d", m.ip, d.ports.control))
	}
	return out
}

func (m *daemon) front() string { return fmt.Sprintf("%s:%d", m.ip, m.d.ports.frontend) }

// start starts all daemons and puts the first config.
func (d *deployment) start(config map[string]any) error {
	for _, m := range d.daemons {
		if err := m.start(); err != nil {
			return err
		}
	}
	if err := d.putConfig(config, 20*time.Second); err != nil {
		return err
	}
	for _, m := range d.daemons {
		if err := m.endBootstrap(); err != nil {
			return notRun("%v", err)
		}
	}
	return d.awaitReady(20 * time.Second)
}

func (d *deployment) ready(m *daemon) bool {
	resp, err := d.client.Get(fmt.Sprintf("http://%s:%d/wagtaildyke/ready", m.ip, d.ports.readiness))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *deployment) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, m := range d.entries() {
			if d.ready(m) {
				n++
			}
		}
		if n == len(d.entries()) {
			return nil
		}
		if time.Now().After(until) {
			return notRun("only %d entries are ready after %s", n, limit)
		}
	}
}

// putConfig sends a config with the next version until a replica acknowledges it.
func (d *deployment) putConfig(config map[string]any, limit time.Duration) error {
	d.version += 3
	config["Version"] = d.version
	data, err := json.Marshal(config)
	if err != nil {
		return notRun("%v", err)
	}
	if d.send(data, d.version, time.Now().Add(limit)) {
		return nil
	}
	return notRun("config version %d was not acknowledged within %s", d.version, limit)
}

// send sends a config until a replica acknowledges it.
func (d *deployment) send(data []byte, version int, until time.Time) bool {
	for ; time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, at := range d.controls() {
			resp, err := d.client.Post("http://"+at+"/wagtaildyke/Config.Replace", "application/json", bytes.NewReader(data))
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				d.rec.printf("config version %d acknowledged by %s", version, at)
				return true
			}
		}
	}
	return false
}

// stop kills all processes and removes the folder.
func (d *deployment) stop() {
	for _, m := range d.daemons {
		if m.running() {
			m.kill()
		}
		m.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Fprintln(os.Stderr, "kept", d.folder)
	}
}

func route(name, host, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"Name": name, "Host": host, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 3000, "TargetLatencyMs": 500,
		"Priority": 0, "Service": service, "MaxAttempts": 1,
	}
	if kind == "streaming" {
		r["Sticky"], r["Resumable"], r["TargetGapMs"] = true, false, 150
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

func plainService(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/health", "MaxConnections": 200, "Protocol": "h1", "Tls": false}
}

func engineService(name string) map[string]any {
	s := plainService(name)
	s["Engine"] = map[string]any{
		"Slots": 24, "KvTokens": 507865, "KvTokenBytes": 18432, "LinkMbps": 180000.0, "Moves": true, "Backups": true, "Stride": 10,
		"most": 12, "HandleTtlS": 5.0, "SwitchS": 3.0, "PinMs": 4000.0, "HoldMs": 2000.0, "Models": []any{map[string]any{"Name": "m"}},
	}
	return s
}

func newConfig(routes, services []map[string]any) map[string]any {
	return map[string]any{
		"Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// processes are those that this program has started, so that none outlives it.
type processes struct {
	mu    sync.Mutex
	all   []*exec.Cmd
	ended bool
}

var started processes

func (p *processes) add(cmd *exec.Cmd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, cmd)
	if p.ended {
		_ = cmd.Process.Kill()
	}
}

func (p *processes) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for _, cmd := range p.all {
		_ = cmd.Process.Kill()
	}
}

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &record{file: file, started: time.Now()}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		started.end()
		rec.printf("the case was stopped")
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, with the disruption: %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](rec, trouble)
	var skipped errNotRun
	switch {
	case errors.As(err, &skipped):
		rec.printf("the case could not run: %v", err)
		fmt.Println("not run:", err)
		os.Exit(2)
	case err != nil:
		rec.printf("the case failed: %v", err)
		fmt.Println("not run:", err)
		os.Exit(2)
	case broken:
		rec.printf("result: the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	rec.printf("result: the rule held")
	fmt.Println("the rule held")
}
