package scenario_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wagtaildyke/wagtaildyke/root/operator"
)

// Timing of polls.
const (
	pollInterval = 20 * time.Millisecond
	pollTimeout  = 2 * time.Second
)

// within polls a condition until it holds or the limit passes.
func within(limit time.Duration, holds func() error) error {
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		err := holds()
		if err == nil {
			return nil
		}
		select {
		case <-deadline.C:
			return fmt.Errorf("not within %s: %w", limit, err)
		case <-tick.C:
		}
	}
}

// cmdAwait waits for a condition: await limit condition args...
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "await limit condition args...")
	limit, err := time.ParseDuration(args[0])
	fail(ts, err)
	holds, ok := conditions[args[1]]
	if !ok {
		ts.Fatalf("unknown condition %s", args[1])
	}
	fail(ts, within(limit, func() error { return holds(clusterOf(ts), args[2:]) }))
}

// cmdCheck looks at a condition once: check condition args...
func cmdCheck(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "check condition args...")
	holds, ok := conditions[args[0]]
	if !ok {
		ts.Fatalf("unknown condition %s", args[0])
	}
	fail(ts, holds(clusterOf(ts), args[1:]))
}

// conditions are what a scenario can wait for. Each returns nil when it holds.
var conditions map[string]func(c *cluster, args []string) error

func init() {
	conditions = map[string]func(*cluster, []string) error{
		"leased":   func(c *cluster, vms []string) error { return c.eachFleet(vms, isReady(true)) },
		"unleased": func(c *cluster, vms []string) error { return c.eachFleet(vms, isReady(false)) },
		"server":   serverState,
		"vm":       vmState,
		"table":    tableInForce,
		"journal":  journalHas,
		"events":   eventsReceived,
		"offered":  offered,
		"withheld": withheld,
		"paused":   isPaused,
		"ended":    callsEnded,
		"honest":   isHonest,
		"idle":     isIdle,
		"resent":   resentIs,
		"orders":   ordersDone,
	}
}

var poller = &http.Client{Timeout: pollTimeout}

func getJSON(url string, v any) error {
	resp, err := poller.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

func (c *cluster) fleet(name string) (operator.Fleet, error) {
	var f operator.Fleet
	v, err := c.vm(name)
	if err != nil {
		return f, err
	}
	return f, getJSON("http://"+v.operator+"/v1/fleet", &f)
}

func (c *cluster) eachFleet(names []string, holds func(operator.Fleet) error) error {
	for _, name := range names {
		f, err := c.fleet(name)
		if err != nil {
			return err
		}
		if err := holds(f); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

func isReady(want bool) func(operator.Fleet) error {
	return func(f operator.Fleet) error {
		if f.Ready != want {
			return fmt.Errorf("ready is %t", f.Ready)
		}
		return nil
	}
}

// running are the VMs whose processes run.
func (c *cluster) running() []string {
	var out []string
	for _, v := range c.vms {
		if v.runs() {
			out = append(out, v.name)
		}
	}
	return out
}

// serverState: id state [vm...]; state "gone" means that it is not listed.
func serverState(c *cluster, args []string) error {
	vms := args[2:]
	if len(vms) == 0 {
		vms = c.running()
	}
	return c.eachFleet(vms, func(f operator.Fleet) error {
		got := "gone"
		for _, s := range f.Servers {
			if s.ID == args[0] {
				got = s.State
			}
		}
		if got != args[1] {
			return fmt.Errorf("%s is %s", args[0], got)
		}
		return nil
	})
}

// vmState: vm state observer...
func vmState(c *cluster, args []string) error {
	return c.eachFleet(args[2:], func(f operator.Fleet) error {
		got := "gone"
		for _, v := range f.VMs {
			if v.ID == args[0] {
				got = v.State
			}
		}
		if got != args[1] {
			return fmt.Errorf("%s is %s", args[0], got)
		}
		return nil
	})
}

// tableInForce: version [vm...]
func tableInForce(c *cluster, args []string) error {
	vms := args[1:]
	if len(vms) == 0 {
		vms = c.running()
	}
	return c.eachFleet(vms, func(f operator.Fleet) error {
		if strconv.FormatUint(f.TableVersion, 10) != args[0] {
			return fmt.Errorf("table version %d", f.TableVersion)
		}
		return nil
	})
}

// eventsReceived: call count, the least number of events that have arrived.
func eventsReceived(c *cluster, args []string) error {
	k := c.calls[args[0]]
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.events < want {
		return fmt.Errorf("%d events, error %v", k.events, k.err)
	}
	return nil
}

// offered: observer vm... says that the address answer names the VMs.
func offered(c *cluster, args []string) error { return addressAnswer(c, args, true) }

// withheld: observer vm... says that the address answer names none of the VMs.
func withheld(c *cluster, args []string) error { return addressAnswer(c, args, false) }

// askers is the number of callers whose answers are put together.
const askers = 12

func addressAnswer(c *cluster, args []string, want bool) error {
	observer, err := c.vm(args[0])
	if err != nil {
		return err
	}
	got, err := addressesAt(observer.entry)
	if err != nil {
		return err
	}
	for _, name := range args[1:] {
		v, err := c.vm(name)
		if err != nil {
			return err
		}
		if slices.Contains(got, "http://"+v.entry) != want {
			return fmt.Errorf("the address answer of %s: %v", args[0], got)
		}
	}
	return nil
}

func addressesAt(entry string) ([]string, error) {
	var all []string
	for i := range askers {
		one, err := ask(entry, fmt.Sprintf("caller-%d", i))
		if err != nil {
			return nil, err
		}
		all = append(all, one...)
	}
	return all, nil
}

func ask(entry, caller string) ([]string, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+entry+"/v1/addresses", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Wagtaildyke-Caller", caller)
	resp, err := poller.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var a struct {
		Addresses []struct{ Address string }
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return nil, err
	}
	var out []string
	for _, e := range a.Addresses {
		out = append(out, e.Address)
	}
	return out, nil
}

// isPaused: id, says that the kernel has stopped the process.
func isPaused(c *cluster, args []string) error {
	p, err := c.process(args[0])
	if err != nil {
		return err
	}
	state, err := processState(p.cmd.Process.Pid)
	if err == nil && state != "T" {
		err = errors.New("state " + state)
	}
	return err
}

// callsEnded: count call... says how many of the calls have ended.
func callsEnded(c *cluster, args []string) error {
	n := 0
	for _, name := range args[1:] {
		select {
		case <-c.calls[name].done:
			n++
		default:
		}
	}
	if strconv.Itoa(n) != args[0] {
		return fmt.Errorf("%d calls have ended", n)
	}
	return nil
}

// isIdle: vm, says that the VM serves no request.
func isIdle(c *cluster, args []string) error {
	v, err := c.vm(args[0])
	if err != nil {
		return err
	}
	var vars struct {
		Wagtaildyke struct {
			InFlight int `json:"in_flight"`
		} `json:"wagtaildyke"`
	}
	if err := getJSON("http://"+v.operator+"/debug/vars", &vars); err != nil {
		return err
	}
	if n := vars.Wagtaildyke.InFlight; n != 0 {
		return fmt.Errorf("%d requests in flight", n)
	}
	return nil
}
