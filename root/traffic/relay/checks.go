package relay

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

const (
	// maxChecks bounds the servers that are checked at the same time, and so the
	// connections that checks hold.
	maxChecks = 64
	// maxCheckWaiters bounds the requests that wait for the check of one server.
	maxCheckWaiters = 256
	// secondDialDelay is the time after which a server that accepted a connection is
	// dialled again. A process that ends may close its connections before its listener.
	secondDialDelay = 100 * time.Millisecond
)

// CheckResult is what a check has found out about a server.
type CheckResult uint8

// The results of a check.
const (
	// Accepting servers accept connections or have a backlog for them.
	Accepting CheckResult = iota
	// Gone servers refuse connections or can't be reached.
	Gone
	// Stopped servers are gone after a planned stop.
	Stopped
	// Unchecked servers could not be dialled for a reason within this process.
	Unchecked
)

// String returns the result as it stands in logs and metrics.
func (r CheckResult) String() string {
	switch r {
	case Accepting:
		return "accepting"
	case Gone:
		return "gone"
	case Stopped:
		return "stopped"
	default:
		return "unchecked"
	}
}

// serverKey identifies one start of a server.
type serverKey struct {
	id          string
	incarnation uint64
}

// ServerChecks dials servers in the background to find out whether they have ended. It
// dials each server for one check at a time, whose result all requests share that ended
// before it was dialled.
type ServerChecks struct {
	dial func(context.Context, fleet.Server) error
	log  logr.Logger

	mu      sync.Mutex
	running map[serverKey]*serverCheck
	// begun has room for every check in running.
	begun chan *serverCheck
}

// serverCheck is the check of one server.
type serverCheck struct {
	server fleet.Server
	// waiting get the result of the next dial.
	waiting []func(CheckResult, error)
}

func newServerChecks(dial func(context.Context, fleet.Server) error, log logr.Logger) *ServerChecks {
	return &ServerChecks{
		dial: dial, log: log, running: map[serverKey]*serverCheck{}, begun: make(chan *serverCheck, maxChecks),
	}
}

// request has the server checked and passes the result to report, with the error of the
// dial. It reports false if there are too many checks already.
func (c *ServerChecks) request(s fleet.Server, report func(CheckResult, error)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := serverKey{s.ID, s.Incarnation}
	if check := c.running[key]; check != nil {
		if len(check.waiting) == maxCheckWaiters {
			return false
		}
		check.waiting = append(check.waiting, report)
		return true
	}
	if len(c.running) == maxChecks {
		return false
	}
	check := &serverCheck{server: s, waiting: []func(CheckResult, error){report}}
	c.running[key] = check
	c.begun <- check
	return true
}

// Serve runs the checks until ctx ends. It waits for those that are running, whose dials
// end with ctx.
func (c *ServerChecks) Serve(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case check := <-c.begun:
			running.Go(func() { c.run(ctx, check) })
		}
	}
}

// run checks a server until no request waits for a result.
func (c *ServerChecks) run(ctx context.Context, check *serverCheck) {
	for more := true; more; more = c.continues(check) {
		c.runOnce(ctx, check)
	}
}

// runOnce dials the server, a second time if it accepts, and reports the result.
func (c *ServerChecks) runOnce(ctx context.Context, check *serverCheck) {
	err := c.dialServer(ctx, check.server)
	var waiting []func(CheckResult, error)
	if err == nil {
		sleep(ctx, secondDialDelay)
		waiting = c.take(check)
		err = c.dialServer(ctx, check.server)
	} else {
		// A server that has ended stays so: the result holds also for requests that began
		// to wait during the dial.
		waiting = c.take(check)
	}
	result := Unchecked
	switch {
	case err == nil:
		result = Accepting
	case ctx.Err() == nil && engine.Gone(err):
		result = Gone
	}
	for _, report := range waiting {
		caught := supervise.Catch(part, func() error {
			report(result, err)
			return nil
		})
		if caught != nil {
			c.log.Error(caught, "failed to report the check of a server", "server", check.server.ID)
		}
	}
}

func (c *ServerChecks) dialServer(ctx context.Context, s fleet.Server) error {
	return supervise.Catch(part, func() error { return c.dial(ctx, s) })
}

// take removes and returns the functions that wait for the result of a check.
func (c *ServerChecks) take(check *serverCheck) []func(CheckResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := check.waiting
	check.waiting = nil
	return waiting
}

// continues reports whether requests have begun to wait for another check of the server.
// Otherwise it ends the check.
func (c *ServerChecks) continues(check *serverCheck) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(check.waiting) > 0 {
		return true
	}
	delete(c.running, serverKey{check.server.ID, check.server.Incarnation})
	return false
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
