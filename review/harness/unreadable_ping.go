//go:build review

package main

import (
	"net/http"
	"time"
)

func init() { cases["unreadable-ping"] = unreadablePing }

// unreadablePing sends each daemon one ping of another writer whose id has bytes that can't
// be read. Then the operator moves a route to another service. Rule CONFIG: a request sent
// later than ConfigApplyMs after the ack must not be run by the old service.
func unreadablePing(c *cluster, trouble bool) int {
	c.start(3, 2)
	before, after := "old", "new"
	services := []map[string]any{service(before), service(after)}
	c.putConfig(3, config([]map[string]any{route("r-1", "/order/", "safe", before)}, services))
	oldWorker, newWorker := c.addWorker(before), c.addWorker(after)
	c.awaitReady()
	// All machines are in touch once they have run for ContactMs.
	time.Sleep(contact + time.Second)
	c.rec.note("before: %s", summary(c.loadFor(http.MethodGet, "/order/1", 100*time.Millisecond, time.Second)))
	if n := len(oldWorker.runsAfter(c.rec.started)); n == 0 {
		fail("the old service ran nothing")
	}
	if trouble {
		ping := oldWorker.body()
		ping["Address"] = "127.0.0.1:9"
		for _, d := range c.replicas() {
			status, _ := d.call(http.MethodPost, "/wagtaildyke/Instances.Heartbeat/i-%FF%FE%FD", ping)
			c.rec.note("another writer: ping with an unreadable id at %s: %d", d.name, status)
		}
		time.Sleep(time.Second)
	}
	acked := c.putConfig(5, config([]map[string]any{route("r-1", "/order/", "safe", after)}, services))
	time.Sleep(time.Until(acked.Add(configApply + 200*time.Millisecond)))
	c.rec.note("config read back: version %d", c.readConfig())
	late := time.Now()
	c.rec.note("later than ConfigApplyMs after the ack: %s", summary(c.loadFor(http.MethodGet, "/order/2", 200*time.Millisecond, 6*time.Second)))
	wrong := len(oldWorker.runsAfter(late))
	c.rec.note("of these, the old service ran %d, the new one %d", wrong, len(newWorker.runsAfter(late)))
	return wrong
}
