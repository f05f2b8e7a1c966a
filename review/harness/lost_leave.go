//go:build review

package main

import (
	"net/http"
	"os"
	"strconv"
	"time"
)

func init() {
	cases["lost-leave"] = lostLeave
	cases["late-ping"] = latePing
}

// back is the time after which the platform starts processes again that were killed.
const back = 500 * time.Millisecond

// killAfter is the time from the ack to the kill of lost-leave, KILL_AFTER_MS; 0 if that is
// not set.
func killAfter() time.Duration {
	ms, _ := strconv.Atoi(os.Getenv("KILL_AFTER_MS"))
	return time.Duration(ms) * time.Millisecond
}

// leaveCase is a deployment with a service that is called seldom and has two workers, of
// which one leaves.
type leaveCase struct {
	c                *cluster
	leaving, staying *worker
	acked            time.Time
}

func newLeaveCase(c *cluster) *leaveCase {
	c.start(3, 2)
	services := []map[string]any{service("orders")}
	c.putConfig(3, config([]map[string]any{route("r-1", "/order/", "unsafe", "orders")}, services))
	l := &leaveCase{c: c, leaving: c.addWorker("orders"), staying: c.addWorker("orders")}
	c.awaitReady()
	// All machines are in touch once they have run for ContactMs.
	time.Sleep(contact + time.Second)
	c.rec.note("before: %s", summary(c.loadFor(http.MethodPost, "/order/1", 100*time.Millisecond, time.Second)))
	if len(l.leaving.runsAfter(c.rec.started)) == 0 || len(l.staying.runsAfter(c.rec.started)) == 0 {
		fail("a worker ran nothing")
	}
	return l
}

// killCore kills all processes of the core at the same moment and starts them again.
func (l *leaveCase) killCore() {
	replicas := l.c.replicas()
	l.c.rec.note("platform: SIGKILL to all processes of the core")
	kill(replicas...)
	time.Sleep(back)
	for _, d := range replicas {
		d.start(false)
	}
}

// judge sends requests from a moment on at which all machines are in touch, and counts
// those that reach the worker that has left. Rule DRAIN allows none later than
// DrainTimeoutMs after the ack.
func (l *leaveCase) judge(from time.Time, length time.Duration) int {
	if earliest := l.acked.Add(drainTime + 200*time.Millisecond); from.Before(earliest) {
		from = earliest
	}
	time.Sleep(time.Until(from))
	l.c.rec.note("%.1f s after the ack, all machines are in touch", time.Since(l.acked).Seconds())
	began := time.Now()
	l.c.rec.note("after: %s", summary(l.c.loadFor(http.MethodPost, "/order/2", 200*time.Millisecond, length)))
	wrong := l.leaving.runsAfter(began)
	l.c.rec.note("of these, the worker that left ran %d, the other one %d", len(wrong), len(l.staying.runsAfter(began)))
	for _, r := range wrong {
		l.c.rec.note("  request %s reached it %.1f s after the ack", r.id, r.at.Sub(l.acked).Seconds())
	}
	return len(wrong)
}

// lostLeave kills the core right after a daemon has acknowledged that a worker leaves.
func lostLeave(c *cluster, trouble bool) int {
	l := newLeaveCase(c)
	l.acked, _ = l.leaving.deregister()
	if trouble {
		time.Sleep(killAfter())
		l.killCore()
	}
	return l.judge(time.Now().Add(contact+100*time.Millisecond), 4*time.Second)
}

// latePing kills the core two seconds after a worker has left, and lets a ping that the
// worker sent before it left arrive late.
func latePing(c *cluster, trouble bool) int {
	l := newLeaveCase(c)
	late := l.leaving.body()
	l.acked, _ = l.leaving.deregister()
	time.Sleep(time.Until(l.acked.Add(2 * time.Second)))
	if trouble {
		l.killCore()
	} else {
		time.Sleep(back)
	}
	restarted := time.Now()
	time.Sleep(2 * time.Second)
	d := l.leaving.tell(l.leaving.heartbeatPath(), late)
	if d == nil {
		fail("nobody took the late ping")
	}
	c.rec.note("worker %s: a ping from before it left reaches %s %.1f s after the ack", l.leaving.id, d.name, time.Since(l.acked).Seconds())
	return l.judge(restarted.Add(contact+100*time.Millisecond), 3*time.Second)
}
