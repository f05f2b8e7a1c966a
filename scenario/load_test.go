package scenario_test

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// load is a set of callers that send one call after the other. Each asks for
// addresses again when those that it keeps are as old as the answer allows.
type load struct {
	c    *cluster
	args []string
	quit chan struct{}
	all  sync.WaitGroup

	mu      sync.Mutex
	counts  map[string]int
	example map[string]string
}

func (l *load) stop() {
	select {
	case <-l.quit:
	default:
		close(l.quit)
	}
	l.all.Wait()
}

// addressAge is how long a caller keeps an address answer.
const addressAge = time.Second

func (l *load) caller(i int) {
	var entry string
	var asked time.Time
	for {
		select {
		case <-l.quit:
			return
		default:
		}
		if time.Since(asked) > addressAge || entry == "" {
			entry, asked = l.ask(fmt.Sprintf("caller-%d", i)), time.Now()
		}
		if entry != "" && !l.one(entry) {
			entry = ""
		}
	}
}

// ask returns the first VM of the address answer.
func (l *load) ask(caller string) string {
	for _, v := range l.c.vms {
		got, err := ask(v.entry, caller)
		if err != nil || len(got) == 0 {
			continue
		}
		for _, other := range l.c.vms {
			if "http://"+other.entry == got[0] {
				return other.name
			}
		}
	}
	return ""
}

// one sends one call and reports whether the caller stays with the entry.
func (l *load) one(entry string) bool {
	k, err := l.c.newCall(append([]string{entry}, l.args...))
	if err != nil {
		l.count("bad", err.Error())
		return false
	}
	k.run()
	switch {
	case k.field("whole") == "yes" && k.status == 200:
		l.count("ok", "")
		return true
	case k.field("ran") == "no":
		l.count("refused", k.masked())
	case isDialError(k.err):
		l.count("unsent", fmt.Sprint(k.err))
	default:
		l.count("cut", fmt.Sprint(entry, " status ", k.status, " error ", k.err, " ", k.masked(), k.failed))
	}
	return false
}

// isDialError says that no connection was made, so nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (l *load) count(what, example string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[what]++
	l.example[what] = example
}

// cmdLoad drives callers: load start name callers method path [name=value...],
// load min name what=n... waits for counts, load stop name what=n... checks them
// after the end. Counts are ok, refused, unsent and cut.
func cmdLoad(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "load start|min|stop name ...")
	c := clusterOf(ts)
	switch args[0] {
	case "start":
		n, err := strconv.Atoi(args[2])
		fail(ts, err)
		l := &load{c: c, args: args[3:], quit: make(chan struct{}), counts: map[string]int{}, example: map[string]string{}}
		c.loads[args[1]] = l
		for i := range n {
			l.all.Go(func() { l.caller(i) })
		}
	case "min":
		fail(ts, within(startLimit, func() error { return c.loads[args[1]].compare(args[2:], true) }))
	case "stop":
		c.loads[args[1]].stop()
		ts.Logf("load %s: %v", args[1], c.loads[args[1]].counts)
		fail(ts, c.loads[args[1]].compare(args[2:], false))
	}
}

func (l *load) compare(args []string, atLeast bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, named := fields(args)
	for name, text := range named {
		want, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		if got := l.counts[name]; got < want || (!atLeast && got != want) {
			return fmt.Errorf("load: %s is %d, want %d: %s", name, got, want, l.example[name])
		}
	}
	return nil
}
