// Package demo runs a small cluster in one process on loopback: three VMs that
// are entry and replica, stand-in engines and a stand-in plain service.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root"
	"github.com/wagtaildyke/wagtaildyke/root/storage"
	"github.com/wagtaildyke/wagtaildyke/settings"
)

const part = "demo"

// Options configure a demo.
type Options struct {
	// Listen is the address of the first entry.
	Listen string
	// Data is the data folder; empty for a temporary one. A folder that a demo
	// has used before is used again with its table.
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
	readyInterval = 20 * time.Millisecond
	drainSeconds  = 10
)

// Run serves the demo until ctx ends, then stops it gracefully.
func Run(ctx context.Context, o Options) error {
	data, remove, err := dataFolder(o.Data)
	if err != nil {
		return err
	}
	defer remove()
	c := &cluster{o: o, data: data}
	if err := c.open(); err != nil {
		return errors.Join(err, c.abandon())
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
			VM: vmName(i), FailureDomain: domain(i), Address: l.Peers.Addr().String(),
			Operator: l.Operator.Addr().String(), Replica: true,
		}
	}
	for i, l := range bound {
		p, err := c.openOne(c.settings(i, members), l)
		if err != nil {
			closeAll(bound[i:])
			return err
		}
		c.processes = append(c.processes, p)
	}
	return nil
}

func (c *cluster) openOne(s *settings.Settings, l root.Listeners) (*root.Process, error) {
	if err := formatOnce(s); err != nil {
		return nil, err
	}
	// The logger keeps the path in the tree as its prefix; the VM is a field.
	return root.OpenWithListeners(s, l, c.o.Log.WithValues("daemon", s.VM))
}

// abandon stops the processes that were opened before another one failed.
func (c *cluster) abandon() error {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return join(c.serveAll(ctx), len(c.processes))
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
			closeAll(out)
			return nil, err
		}
		out = append(out, l)
	}
	return out, nil
}

func closeAll(bound []root.Listeners) {
	for _, l := range bound {
		l.Close()
	}
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
	id := storage.Identity{Cluster: s.Cluster, Replica: root.InitialReplicaID(s.VM)}
	err := storage.Format(s.Replica.DataFolder, id)
	if fault.Is(err, fault.Conflict) {
		return nil
	}
	return err
}

// serveAll serves every process and returns the channel of their ends.
func (c *cluster) serveAll(ctx context.Context) <-chan error {
	done := make(chan error, len(c.processes))
	for _, p := range c.processes {
		go func() { done <- p.Serve(ctx) }()
	}
	return done
}

// serve runs everything, prints how to use it, and stops with ctx. Stand-ins
// stop last, so that the requests in flight end whole.
func (c *cluster) serve(ctx context.Context) error {
	processCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := c.serveAll(processCtx)
	servers, err := c.startServers()
	defer servers.stop()
	if err == nil {
		err = c.start(ctx)
	}
	left := len(c.processes)
	if err == nil {
		select {
		case <-ctx.Done():
		case err = <-done:
			left--
		}
	} else if ctx.Err() != nil {
		// A stop during the start is no failure.
		err = nil
	}
	stop()
	return errors.Join(err, join(done, left))
}

func join(done <-chan error, n int) error {
	var all []error
	for range n {
		all = append(all, <-done)
	}
	return errors.Join(all...)
}

// start waits for the fleet, sets the first table, and says that the demo is ready.
func (c *cluster) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := c.awaitReady(ctx); err != nil {
		return err
	}
	if err := c.putFirstTable(ctx); err != nil {
		return err
	}
	return c.announce()
}

// awaitReady waits until every entry has a live view with all servers.
func (c *cluster) awaitReady(ctx context.Context) error {
	t := time.NewTicker(readyInterval)
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

// announce prints the entries, the line "ready", the operator listeners, and a
// command to try.
func (c *cluster) announce() error {
	var b strings.Builder
	for _, p := range c.processes {
		fmt.Fprintf(&b, "entry %s\n", p.EntryURL())
	}
	fmt.Fprintln(&b, "ready")
	for _, p := range c.processes {
		fmt.Fprintf(&b, "operator %s\n", p.OperatorURL())
	}
	fmt.Fprintf(&b, "try: curl -N %s/v1/chat/completions -d '%s'\n", c.processes[0].EntryURL(),
		`{"model":"assistant","stream":true,"messages":[{"role":"user","content":"Which colour matches?"}]}`)
	_, err := io.WriteString(c.o.Out, b.String())
	return err
}
