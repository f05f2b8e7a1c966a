package scenario_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// startLimit bounds the wait for a new cluster or backend server.
const startLimit = 15 * time.Second

// fields splits arguments of the form name=value; others come back as words.
func fields(args []string) (words []string, named map[string]string) {
	named = map[string]string{}
	for _, a := range args {
		name, value, ok := strings.Cut(a, "=")
		if !ok {
			words = append(words, a)
			continue
		}
		named[name] = value
	}
	return words, named
}

func number(named map[string]string, name string, otherwise int) (int, error) {
	text, ok := named[name]
	if !ok {
		return otherwise, nil
	}
	return strconv.Atoi(text)
}

func onProcess(do func(*process) error) command {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		need(ts, neg, args, 1, "COMMAND process...")
		for _, name := range args {
			p, err := clusterOf(ts).process(name)
			if err == nil {
				err = do(p)
			}
			fail(ts, err)
		}
	}
}

// cmdCluster makes and starts VMs: cluster n [replicas=r] [lifetime=seconds].
// It sets ENTRYi and OPERATORi to the listeners of vm-i.
func cmdCluster(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "cluster n [replicas=r] [lifetime=seconds]")
	c := clusterOf(ts)
	words, named := fields(args)
	n, err := strconv.Atoi(words[0])
	fail(ts, err)
	replicas, err := number(named, "replicas", n)
	fail(ts, err)
	lifetime, err := number(named, "lifetime", 1)
	fail(ts, err)
	fail(ts, c.build(n, replicas, lifetime))
	for i, v := range c.vms {
		ts.Setenv(fmt.Sprintf("ENTRY%d", i+1), "http://"+v.entry)
		ts.Setenv(fmt.Sprintf("OPERATOR%d", i+1), "http://"+v.operator)
		fail(ts, v.start())
	}
	fail(ts, within(startLimit, func() error { return conditions["leased"](c, c.names()) }))
}

func (c *cluster) names() []string {
	var out []string
	for _, v := range c.vms {
		out = append(out, v.name)
	}
	return out
}

func cmdEngine(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "engine id [flag...]")
	startBackend(ts, args[0], append([]string{"--model", "assistant"}, args[1:]...))
}

func cmdService(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "service id [flag...]")
	startBackend(ts, args[0], append([]string{"--service", "stock"}, args[1:]...))
}

// startBackend starts a stand-in and waits until every entry sees it.
func startBackend(ts *testscript.TestScript, id string, flags []string) {
	c := clusterOf(ts)
	free, err := freeAddresses(c.ip(200+len(c.backends)), 1)
	fail(ts, err)
	b := &backend{address: "http://" + free[0]}
	b.name = id
	b.log = filepath.Join(c.dir, id+".log")
	b.args = append([]string{"standin", "--id", id, "--listen", free[0]}, flags...)
	for _, v := range c.vms {
		b.args = append(b.args, "--entry", "http://"+v.entry)
	}
	c.backends[id] = b
	fail(ts, b.start())
	fail(ts, within(startLimit, func() error { return conditions["server"](c, []string{id, "active"}) }))
}

// cmdRestart starts processes again; a stand-in is up once it answers.
func cmdRestart(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "restart process...")
	c := clusterOf(ts)
	for _, name := range args {
		p, err := c.process(name)
		fail(ts, err)
		fail(ts, p.start())
		if c.backends[name] != nil {
			fail(ts, within(startLimit, func() error { return journalHas(c, []string{name}) }))
		}
	}
}

// cmdFault tells a stand-in how to misbehave: fault id JSON.
func cmdFault(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "fault id JSON")
	b := clusterOf(ts).backends[args[0]]
	resp, err := http.Post(b.address+"/standin/faults", "application/json", strings.NewReader(args[1]))
	fail(ts, err)
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		ts.Fatalf("faults: status %d", resp.StatusCode)
	}
}

// cmdExited waits for a process to end by itself: exited id code [limit].
func cmdExited(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 3, "exited id code limit")
	p, err := clusterOf(ts).process(args[0])
	fail(ts, err)
	limit, err := time.ParseDuration(args[2])
	fail(ts, err)
	code, err := p.wait(limit)
	fail(ts, err)
	if strconv.Itoa(code) != args[1] {
		fail(ts, fmt.Errorf("%s exited with %d", args[0], code))
	}
}

// cmdLoseDisk removes the data folder of a VM that is down.
func cmdLoseDisk(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "losedisk vm")
	v, err := clusterOf(ts).vm(args[0])
	fail(ts, err)
	fail(ts, os.RemoveAll(v.data))
}

func cmdCut(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "cut vm vm")
	for _, r := range clusterOf(ts).linksOf(args[0], args[1]) {
		r.cut()
	}
}

func cmdIsolate(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "isolate vm")
	for _, r := range clusterOf(ts).linksOf(args[0], "") {
		r.cut()
	}
}

// cmdHeal mends the link between two VMs, or all links of one.
func cmdHeal(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "heal vm [vm]")
	for _, r := range clusterOf(ts).linksOf(args[0], strings.Join(args[1:], "")) {
		r.heal()
	}
}

// leaderBytes is the traffic within which the leader shows: all VMs talk to it
// and, in health, not among each other.
const (
	leaderBytes = 4000
	leaderShare = 0.9
)

// cmdLeader finds the leader from the traffic on the links and sets LEADER to
// it, LEADERENTRY to its listener, and FOLLOWER1, FOLLOWER2 and so on to the
// other VMs.
func cmdLeader(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 0, "leader")
	c := clusterOf(ts)
	before := c.traffic()
	var leader string
	fail(ts, within(startLimit, func() error {
		var err error
		leader, err = c.busiest(before)
		return err
	}))
	ts.Setenv("LEADER", leader)
	v, err := c.vm(leader)
	fail(ts, err)
	ts.Setenv("LEADERENTRY", "http://"+v.entry)
	others := slices.DeleteFunc(c.names(), func(name string) bool { return name == leader })
	for i, name := range others {
		ts.Setenv(fmt.Sprintf("FOLLOWER%d", i+1), name)
	}
	ts.Logf("leader %s", leader)
}

func (c *cluster) traffic() map[link]int64 {
	out := map[link]int64{}
	for l, r := range c.links {
		out[l] = r.bytes.Load()
	}
	return out
}

func (c *cluster) busiest(before map[link]int64) (string, error) {
	total := int64(0)
	perVM := map[string]int64{}
	for l, n := range c.traffic() {
		n -= before[l]
		total += n
		perVM[l.from] += n
		perVM[l.to] += n
	}
	for name, n := range perVM {
		if total > leaderBytes && float64(n) > leaderShare*float64(total) {
			return name, nil
		}
	}
	return "", fmt.Errorf("no leader shows in the traffic: %v", perVM)
}
