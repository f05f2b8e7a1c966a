package scenario_test

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/wagtaildyke/wagtaildyke/settings"
)

// vm is one VM: its settings, its process and its listeners.
type vm struct {
	process
	file     string
	data     string
	replica  bool
	peers    string
	entry    string
	operator string
}

// backend is one stand-in.
type backend struct {
	process
	address string
}

// link is the way by which one VM dials another.
type link struct{ from, to string }

// cluster is what one scenario runs.
type cluster struct {
	dir      string
	net      string
	vms      []*vm
	backends map[string]*backend
	links    map[link]*relay
	calls    map[string]*call
	last     *call
	loads    map[string]*load
	// tune changes the settings of each VM; nil for none.
	tune func(*settings.Settings)
}

// clusters numbers the clusters of this test process.
var clusters atomic.Int64

// Every cluster has a loopback network of its own, so that no port that it
// freed for a moment is taken by an outgoing connection.
func newCluster(dir string) *cluster {
	return &cluster{
		dir:      dir,
		net:      fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, clusters.Add(1)),
		backends: map[string]*backend{},
		links:    map[link]*relay{},
		calls:    map[string]*call{},
		loads:    map[string]*load{},
	}
}

func (c *cluster) ip(i int) string { return fmt.Sprintf("%s.%d", c.net, i) }

// freeAddresses returns addresses that were free a moment ago. Nothing else of
// the scenario binds on the same IP number.
func freeAddresses(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

// build makes n VMs, of which the first ones hold replicas.
func (c *cluster) build(n, replicas, lifetime int) error {
	for i := 1; i <= n; i++ {
		v, err := c.newVM(i, i <= replicas)
		if err != nil {
			return err
		}
		c.vms = append(c.vms, v)
	}
	if err := c.buildLinks(); err != nil {
		return err
	}
	for i, v := range c.vms {
		if err := c.writeSettings(i, v, lifetime); err != nil {
			return err
		}
		if err := c.format(v); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) newVM(i int, replica bool) (*vm, error) {
	name := fmt.Sprintf("vm-%d", i)
	v := &vm{
		file:    filepath.Join(c.dir, name+".jsonc"),
		data:    filepath.Join(c.dir, name+".data"),
		replica: replica,
	}
	v.name = name
	v.args = []string{"serve", "--settings", v.file}
	v.log = filepath.Join(c.dir, name+".log")
	free, err := freeAddresses(c.ip(i), 3)
	if err != nil {
		return nil, err
	}
	v.peers, v.entry, v.operator = free[0], free[1], free[2]
	return v, nil
}

func (c *cluster) buildLinks() error {
	for i, from := range c.vms {
		for _, to := range c.vms {
			if from == to {
				continue
			}
			r, err := newRelay(c.ip(100+i), to.peers)
			if err != nil {
				return err
			}
			c.links[link{from.name, to.name}] = r
		}
	}
	return nil
}

// members are the VMs as one of them reaches them.
func (c *cluster) members(self *vm) []settings.Member {
	var out []settings.Member
	for i, v := range c.vms {
		m := settings.Member{VM: v.name, FailureDomain: string(rune('a' + i%4)), Address: v.peers, Replica: v.replica}
		if v != self {
			m.Address = c.links[link{self.name, v.name}].address()
		}
		out = append(out, m)
	}
	return out
}

func (c *cluster) writeSettings(i int, v *vm, lifetime int) error {
	s := settings.Defaults()
	s.Cluster = "scenario"
	s.VM = v.name
	s.Members = c.members(v)
	s.Peers = settings.Peers{Listen: v.peers, AllowPlaintext: true}
	s.Operator.Listen = v.operator
	s.Entry = &settings.Entry{Listen: v.entry, AddressLifetimeSeconds: lifetime}
	s.Stop.DrainLimitSeconds = 30
	s.Limits.WriteTimeoutMillis = 1_000
	s.Limits.BodyTimeoutMillis = 2_000
	s.Limits.MaxBodyBytes = 1 << 20
	if v.replica {
		s.Replica = &settings.Replica{DataFolder: v.data, CompactEveryEntries: 100}
	}
	if c.tune != nil {
		c.tune(&s)
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(v.file, append([]byte("// Settings of one scenario.\n"), data...), 0o600)
}

func (c *cluster) format(v *vm) error {
	if !v.replica {
		return nil
	}
	out, err := exec.Command(binary, "format", "--new-cluster", "--settings", v.file).CombinedOutput()
	if err != nil {
		return fmt.Errorf("format %s: %w: %s", v.name, err, out)
	}
	return nil
}

func (c *cluster) vm(name string) (*vm, error) {
	i := slices.IndexFunc(c.vms, func(v *vm) bool { return v.name == name })
	if i < 0 {
		return nil, fmt.Errorf("no VM %q", name)
	}
	return c.vms[i], nil
}

func (c *cluster) process(name string) (*process, error) {
	if b, ok := c.backends[name]; ok {
		return &b.process, nil
	}
	v, err := c.vm(name)
	if err != nil {
		return nil, err
	}
	return &v.process, nil
}

// linksOf returns the links between two VMs, or all of one when other is empty.
func (c *cluster) linksOf(name, other string) []*relay {
	var out []*relay
	for l, r := range c.links {
		switch {
		case l.from == name && (other == "" || l.to == other):
			out = append(out, r)
		case l.to == name && (other == "" || l.from == other):
			out = append(out, r)
		}
	}
	return out
}

func (c *cluster) close() {
	for _, l := range c.loads {
		l.stop()
	}
	var all sync.WaitGroup
	for _, v := range c.vms {
		all.Go(v.stop)
	}
	for _, b := range c.backends {
		all.Go(b.stop)
	}
	all.Wait()
	for _, r := range c.links {
		r.close()
	}
}

// tailBytes bounds what is shown of one log.
const tailBytes = 1500

func (c *cluster) tails() string {
	var out strings.Builder
	for _, v := range c.vms {
		data, err := os.ReadFile(v.log)
		if err != nil {
			continue
		}
		fmt.Fprintf(&out, "[log of %s]\n%s\n", v.name, data[max(0, len(data)-tailBytes):])
	}
	return out.String()
}
