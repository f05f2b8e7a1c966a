//go:build review

package main

import (
	"net/http"
	"time"
)

func init() { cases["replaced-core"] = replacedCore }

const (
	catchUp  = 4 * time.Second  // CatchUpS
	recovery = 12 * time.Second // RecoveryS
)

// replacedCore removes a machine of the core for good and adds an empty one at another
// address. Once that one has had CatchUpS, another machine loses its disk right after a
// config was acknowledged: one machine at a time is lost. Rule CONFIG: the config must come
// when it is read back.
func replacedCore(c *cluster, trouble bool) int {
	c.start(3, 1)
	services := []map[string]any{service("orders")}
	routes := []map[string]any{route("r-1", "/order/", "safe", "orders")}
	c.putConfig(3, config(routes, services))
	c.addWorker("orders")
	c.awaitReady()
	time.Sleep(contact + time.Second)
	first, third := c.replicas()[0], c.replicas()[2]
	if trouble {
		c.rec.note("platform: %s is gone for good", third.name)
		kill(third)
		time.Sleep(time.Second)
		c.add("replica-4", true).start(false)
	}
	time.Sleep(catchUp + time.Second)
	c.putConfig(5, config(routes, services))
	if trouble {
		kill(first)
		first.wipe()
		time.Sleep(time.Second)
		first.start(false)
	}
	time.Sleep(recovery)
	until := time.Now().Add(10 * time.Second)
	for time.Now().Before(until) {
		if version := c.readConfig(); version == 5 {
			c.rec.note("config read back: version %d", version)
			c.rec.note("after: %s", summary(c.loadFor(http.MethodGet, "/order/1", 200*time.Millisecond, time.Second)))
			return 0
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.rec.note("no daemon has given the config for 10 s, more than RecoveryS after the last machine was back")
	return 1
}
