//go:build review

package main

import (
	"net/http"
	"time"
)

func init() { cases["odd-ping"] = oddPing }

// oddPing sends each daemon one ping of another writer, with fields missing and of another
// type, that bears the id of a worker which is draining. Rule DRAIN: the ping names no worker
// to use, and the draining worker must stay without new requests.
func oddPing(c *cluster, trouble bool) int {
	l := newLeaveCase(c)
	l.leaving.mu.Lock()
	l.leaving.state, l.leaving.leaving = "draining", true
	l.leaving.mu.Unlock()
	d := l.leaving.tell(l.leaving.heartbeatPath(), l.leaving.body())
	if d == nil {
		fail("nobody acknowledged that the worker is draining")
	}
	l.acked = time.Now()
	c.rec.note("worker %s: %s acknowledged that it is draining", l.leaving.id, d.name)
	time.Sleep(time.Second)
	if trouble {
		ping := l.leaving.body()
		delete(ping, "Version")
		ping["ColdRemainingMs"], ping["State"], ping["Sequence"] = "none", "ready", 1000000
		for _, r := range c.replicas() {
			status, _ := r.call(http.MethodPost, l.leaving.heartbeatPath(), ping)
			c.rec.note("another writer: ping without Version, ColdRemainingMs a text, at %s: %d", r.name, status)
		}
	}
	return l.judge(time.Now().Add(time.Second), 3*time.Second)
}
