// Package demo runs a small cluster in one process on loopback: three VMs that
// are entry and replica, stand-in engines and a stand-in plain service.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root"
	"github.com/wagtaildyke/wagtaildyke/root/storage"
	"github.com/wagtaildyke/wagtaildyke/settings"
	"github.com/wagtaildyke/wagtaildyke/standin"
)

const part = "demo"

// Options configure a demo.
type Options struct {
	// Listen is the address of the first entry.
	Listen string
	// Data is the data folder; empty for a temporary one.
	Data string
	Out  io.Writer
	Log  logr.Logger
}

// Size and timing of the demo.
const (
	vms           = 3
	engines       = 4
	slots         = 8
	tokenInterval = 20 * time.Millisecond
	prefillRate   = 20_000
	startLimit    = 20 * time.Second
	drainSeconds  = 10
)

// tableCSV is the table that the demo starts with.
const tableCSV = `class,weight,place,concurrency,rate_per_second,queue,tokens,deadline_ms,targets,idempotent
short,3,0,16,50,64,0,10000,assistant,yes
summary,1,1,16,20,64,0,60000,assistant,yes
lookup,1,0,16,100,64,0,5000,stock,yes
order,1,0,8,20,32,0,15000,stock,no
`

// Run serves the demo until ctx ends, then stops it gracefully.
func Run(ctx context.Context, o Options) error {
	data, remove, err := dataFolder(o.Data)
	if err != nil {
		return err
	}
	defer remove()
	c := &cluster{o: o, data: data}
	defer c.stopServers()
	if err := c.open(); err != nil {
		return err
	}
	return c.serve(ctx)
}

func dataFolder(given string) (string, func(), error) {
	if given != "" {
		return given, func() {}, nil
	}
	folder, err := os.MkdirTemp("", "wagtaildyke-demo-")
	if err != nil {
		return "", nil, fault.Wrap(err, fault.Unavailable, part, "temporary folder")
	}
	return folder, func() { os.RemoveAll(folder) }, nil
}

// cluster is the running demo.
type cluster struct {
	o         Options
	data      string
	processes []*root.Process
	servers   []*http.Server
}

// open binds all listeners first, so that members know each other's addresses.
func (c *cluster) open() error {
	bound, err := bind(c.o.Listen)
	if err != nil {
		return err
	}
	members := make([]settings.Member, vms)
	for i, l := range bound {
		members[i] = settings.Member{
			VM: vmName(i), FailureDomain: domain(i), Address: l.Peers.Addr().String(), Replica: true,
		}
	}
	for i, l := range bound {
		s := c.settings(i, members)
		if err := formatOnce(s); err != nil {
			return err
		}
		p, err := root.OpenOn(s, l, c.o.Log.WithName(s.VM))
		if err != nil {
			return err
		}
		c.processes = append(c.processes, p)
	}
	return nil
}

func vmName(i int) string { return fmt.Sprintf("vm-%d", i+1) }

func domain(i int) string { return string(rune('a' + i%vms)) }

func bind(first string) ([]root.Listeners, error) {
	var out []root.Listeners
	for i := range vms {
		entry := "127.0.0.1:0"
		if i == 0 {
			entry = first
		}
		l, err := root.Listen(&settings.Settings{
			Peers:    settings.Peers{Listen: "127.0.0.1:0"},
			Operator: settings.Operator{Listen: "127.0.0.1:0"},
			Entry:    &settings.Entry{Listen: entry},
		})
		if err != nil {
			for _, bound := range out {
				bound.Close()
			}
			return nil, err
		}
		out = append(out, l)
	}
	return out, nil
}

func (c *cluster) settings(i int, members []settings.Member) *settings.Settings {
	s := settings.Defaults()
	s.Cluster = "demo"
	s.VM = vmName(i)
	s.Members = members
	s.Peers = settings.Peers{AllowPlaintext: true}
	s.Entry = &settings.Entry{AddressLifetimeSeconds: 1}
	s.Replica = &settings.Replica{
		DataFolder: filepath.Join(c.data, s.VM), CompactEveryEntries: 20_000,
	}
	s.Stop.DrainLimitSeconds = drainSeconds
	return &s
}

// formatOnce prepares a folder that has never been used.
func formatOnce(s *settings.Settings) error {
	id := storage.Identity{Cluster: s.Cluster, Replica: root.FirstIdentity(s.VM)}
	err := storage.Format(s.Replica.DataFolder, id)
	if fault.Is(err, fault.Conflict) {
		return nil
	}
	return err
}

// serve runs everything, prints how to use it, and stops with ctx.
func (c *cluster) serve(ctx context.Context) error {
	done := make(chan error, len(c.processes))
	processCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	for _, p := range c.processes {
		go func() { done <- p.Serve(processCtx) }()
	}
	if err := c.start(ctx); err != nil && ctx.Err() == nil {
		stop()
		return errors.Join(err, join(done, len(c.processes)))
	}
	var early error
	left := len(c.processes)
	select {
	case <-ctx.Done():
	case early = <-done:
		left--
	}
	stop()
	return errors.Join(early, join(done, left))
}

func join(done <-chan error, n int) error {
	var all []error
	for range n {
		all = append(all, <-done)
	}
	return errors.Join(all...)
}

// start adds backend servers and the table, then says that the demo is ready.
func (c *cluster) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := c.startServers(ctx); err != nil {
		return err
	}
	if err := c.putTable(ctx); err != nil {
		return err
	}
	if err := c.awaitReady(ctx); err != nil {
		return err
	}
	c.announce()
	return nil
}

func (c *cluster) announce() {
	for _, p := range c.processes {
		fmt.Fprintf(c.o.Out, "entry %s\n", p.EntryURL())
	}
	fmt.Fprintf(c.o.Out, "operator %s\n", c.processes[0].OperatorURL())
	fmt.Fprintln(c.o.Out, "ready")
	fmt.Fprintf(c.o.Out, "try: curl -N %s/v1/chat/completions -d '%s'\n", c.processes[0].EntryURL(),
		`{"model":"assistant","stream":true,"messages":[{"role":"user","content":"Which colour matches?"}]}`)
}

func (c *cluster) startServers(ctx context.Context) error {
	for i := range engines {
		o := standin.Options{ID: fmt.Sprintf("engine-%d", i+1), Models: []string{"assistant"}}
		if err := c.startServer(ctx, o, i); err != nil {
			return err
		}
	}
	return c.startServer(ctx, standin.Options{ID: "stock-1", Services: []string{"stock"}}, 0)
}

func (c *cluster) startServer(ctx context.Context, o standin.Options, i int) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, part, "stand-in listener")
	}
	o.FailureDomain = domain(i)
	o.Slots = slots
	o.TokenInterval = tokenInterval
	o.PrefillRate = prefillRate
	o.Address = "http://" + ln.Addr().String()
	o.Log = c.o.Log.WithName("standin")
	for _, p := range c.processes {
		o.Entries = append(o.Entries, p.EntryURL())
	}
	s := standin.New(o)
	server := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	c.servers = append(c.servers, server)
	// Serve ends when the demo closes the server.
	go func() { _ = server.Serve(ln) }()
	go s.Announce(context.WithoutCancel(ctx))
	return nil
}

func (c *cluster) stopServers() {
	for _, s := range c.servers {
		s.Close()
	}
}

func (c *cluster) putTable(ctx context.Context) error {
	url := c.processes[0].OperatorURL() + "/v1/table"
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(tableCSV))
	if err != nil {
		return fault.Wrap(err, fault.Internal, part, "table request")
	}
	req.Header.Set("Wagtaildyke-Table-Version", "0")
	req.Header.Set("Wagtaildyke-Change-Id", "demo")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, part, "table request")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || (resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict) {
		return fault.New(fault.Unavailable, part, "the table was refused: %s", text)
	}
	return nil
}

// awaitReady waits until every entry has a live view with all servers.
func (c *cluster) awaitReady(ctx context.Context) error {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for _, p := range c.processes {
		for !p.Ready(engines + 1) {
			select {
			case <-ctx.Done():
				return fault.New(fault.NotReady, part, "an entry did not become ready within %s", startLimit)
			case <-t.C:
			}
		}
	}
	return nil
}
