//go:build review

// Command harness plays the platform, the operator, the workers and the clients of a small
// deployment on loopback, as the users' pages describe them, and runs one case of the
// review against the project's daemons.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// timeLimit ends a case that hangs.
const timeLimit = 110 * time.Second

// cases maps the name of a case to its function, which returns the number of events that
// break the rule.
var cases = map[string]func(*cluster, bool) int{}

func main() { os.Exit(runCase()) }

func runCase() int {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	recordFile := flag.String("record", "record.txt", "file to write the record to")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	play := cases[*name]
	if play == nil {
		names := make([]string, 0, len(cases))
		for n := range cases {
			names = append(names, n)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "no case %q; there are %v\n", *name, names)
		return cannot
	}
	rec, err := newRecord(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	defer rec.close()
	rec.note("case %s, trouble %v", *name, trouble)
	c, err := newCluster(*root, rec)
	if err != nil {
		rec.note("cannot run: %v", err)
		return cannot
	}
	result := make(chan int, 1)
	go func() { result <- playCase(play, c, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	code := cannot
	select {
	case code = <-result:
	case s := <-signals:
		rec.note("cannot run: stopped by signal %v", s)
	case <-time.After(timeLimit):
		rec.note("cannot run: not done after %s", timeLimit)
	}
	c.close()
	rec.note("exit code %d", code)
	return code
}

// setupError is what a case panics with if it cannot run.
type setupError struct{ error }

func fail(format string, args ...any) { panic(setupError{fmt.Errorf(format, args...)}) }

func playCase(play func(*cluster, bool) int, c *cluster, trouble bool) (code int) {
	defer func() {
		if r := recover(); r != nil {
			c.rec.note("cannot run: %v", r)
			code = cannot
		}
	}()
	if n := play(c, trouble); n > 0 {
		c.rec.note("RULE BROKEN: %d events", n)
		return broken
	}
	c.rec.note("the rule held")
	return held
}

// record writes what happened, with the seconds since the start, to a file and to standard
// output.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	return &record{file: f, started: time.Now()}, err
}

// note writes a line to the file and to standard output.
func (r *record) note(format string, args ...any) {
	line := r.log(format, args...)
	fmt.Print(line)
}

// log writes a line to the file only.
func (r *record) log(format string, args ...any) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	return line
}

func (r *record) close() { _ = r.file.Close() }
