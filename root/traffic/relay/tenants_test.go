package relay_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/relay"
)

// publishTenants publishes the next version of the routes with these tenants, in a view
// that is fresh for the given time.
func (h *harness) publishTenants(c *qt.C, fresh time.Duration, sources ...routes.TenantSource) *routes.Document {
	tenants, err := routes.NewTenants(sources)
	c.Assert(err == nil, qt.IsTrue)
	next := *h.views.Load()
	d := *next.Routes
	d.Version++
	d.Tenants = tenants
	next.Routes = &d
	// A view is fresh until half a lease before its end.
	next.LeaseUntil = time.Now().Add(1500*time.Millisecond + fresh)
	h.views.Publish(&next)
	return &d
}

var huka = routes.TenantSource{Name: "huka270", Keys: []string{"thhk", "cpih"}}

// withKeys returns the request with the given keys.
func withKeys(req *relay.Request, keys ...string) *relay.Request {
	for _, key := range keys {
		req.Keys = append(req.Keys, routes.DigestKey(key))
	}
	return req
}

func plainRequest(path string) *relay.Request {
	return &relay.Request{ID: "r", Host: "h", Path: path, Method: "POST", Arrived: time.Now()}
}

// TestUnknownKeyReachesNoServer guards the answers to requests whose keys don't admit
// them: 401 by a fresh view, and 404 for a route that doesn't exist whatever the key.
func TestUnknownKeyReachesNoServer(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.publishTenants(c, time.Hour, huka)
		for _, keys := range [][]string{nil, {""}, {"thhj"}, {"thhk", "thhk"}, {"thhk", "cpih"}} {
			_, err := h.serve(withKeys(plainRequest("/safe/"), keys...))
			c.Assert(err.Kind, qt.Equals, fault.Unauthorized, qt.Commentf("%q", keys))
			c.Assert(err.Ran, qt.Equals, fault.RanNo)
			_, err = h.serve(withKeys(plainRequest("/none/"), keys...))
			c.Assert(err.Kind, qt.Equals, fault.NotFound)
		}
		c.Assert(h.sent, qt.HasLen, 0)
		c.Assert(h.relay.RefusedKeys(), qt.Equals, uint64(5))
		_, err := h.serve(withKeys(plainRequest("/safe/"), "cpih"))
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(h.sent[0].tenant, qt.Equals, "huka270")
	})
}

// TestPublicRouteNeedsNoKey guards requests of public routes: all are served, and only a
// valid key names its tenant.
func TestPublicRouteNeedsNoKey(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		d := h.publishTenants(c, time.Hour, huka)
		for i := range d.Routes {
			d.Routes[i].Public = true
		}
		for i, keys := range [][]string{nil, {"unknown"}, {"thhk", "cpih"}, {"thhk"}} {
			_, err := h.serve(withKeys(plainRequest("/safe/"), keys...))
			c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
			want := map[int]string{3: "huka270"}[i]
			c.Assert(h.sent[i].tenant, qt.Equals, want, qt.Commentf("%q", keys))
		}
	})
}

// TestStaleViewDeniesNoKey guards against a 401 by a document that may have been replaced:
// an unknown key gets 503 then, and a known one is served. Before the first document every
// request gets 503.
func TestStaleViewDeniesNoKey(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.publishTenants(c, time.Second, huka)
		time.Sleep(2 * time.Second)
		_, err := h.serve(withKeys(plainRequest("/safe/"), "unknown"))
		c.Assert(err.Kind, qt.Equals, fault.NotReady)
		c.Assert(err.Ran, qt.Equals, fault.RanNo)
		c.Assert(err.RetryAfter > 0, qt.IsTrue)
		_, err = h.serve(withKeys(plainRequest("/safe/"), "thhk"))
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		h.views.Publish(&view.View{Term: 1, LeaseOptional: true, LeaseUntil: time.Now().Add(time.Hour)})
		_, err = h.serve(withKeys(plainRequest("/safe/"), "unknown"))
		c.Assert(err.Kind, qt.Equals, fault.NotReady)
		c.Assert(h.relay.RefusedKeys(), qt.Equals, uint64(0))
	})
}

// TestRemovedKeyEndsWaitingRequests guards against a request that is sent although its key
// was removed while it waited for the prefill engine, or between its prefill and its run.
// The request that is being prefilled runs nowhere.
func TestRemovedKeyEndsWaitingRequests(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		// With this number of entries each may prefill one prompt at a time.
		v := *h.views.Load()
		for n := range 8 {
			v.VMs = append(v.VMs, fleet.VM{ID: fmt.Sprint("vm-", n), Address: "http://vm"})
		}
		h.relay.Placer.SetView(&v)
		h.publishTenants(c, time.Hour, huka)
		h.prefillScript = []scriptedResponse{{status: 200, hang: 100 * time.Millisecond}, {status: 200}}
		var calls sync.WaitGroup
		for range 2 {
			calls.Go(func() {
				_, err := h.serve(withKeys(longPrompt(), "thhk"))
				if err == nil {
					c.Error("a request with a removed key was served")
					return
				}
				c.Check(err.Kind, qt.Equals, fault.Unauthorized, qt.Commentf("%v", err))
				c.Check(err.Ran, qt.Equals, fault.RanNo)
			})
		}
		time.Sleep(50 * time.Millisecond)
		h.publishTenants(c, time.Hour, routes.TenantSource{Name: "huka270", Keys: []string{"cpih"}})
		calls.Wait()
		c.Assert(h.sent, qt.HasLen, 1)
		c.Assert(h.sent[0].prefill, qt.IsTrue)
		// The handle is released beside the request.
		synctest.Wait()
		c.Assert(h.released, qt.DeepEquals, []string{"handle"})
		c.Assert(h.outcomes, qt.DeepEquals, []string{"answered", "abandoned", "abandoned"})
	})
}

// TestRemovedKeyEndsRepeats guards against a repeat, after a server failed, with a key that
// was removed meanwhile. The first server may have run the request, so 401 is not promised.
func TestRemovedKeyEndsRepeats(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.publishTenants(c, time.Hour, huka)
		h.script = []scriptedResponse{{noResponse: true, hang: 100 * time.Millisecond}, {status: 200}}
		time.AfterFunc(50*time.Millisecond, func() { h.publishTenants(c, time.Hour, routes.TenantSource{Name: "rimu", Keys: []string{"r"}}) })
		_, err := h.serve(withKeys(plainRequest("/safe/"), "thhk"))
		c.Assert(err.Kind, qt.Equals, fault.Unauthorized)
		c.Assert(err.Ran, qt.Equals, fault.RanUnknown)
		c.Assert(h.sent, qt.HasLen, 1)
	})
}

// TestStreamOutlivesItsKey guards against a stream that is cut because its key was removed
// after the response began, also when another server has to continue it.
func TestStreamOutlivesItsKey(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.publishTenants(c, time.Hour, huka)
		h.script = []scriptedResponse{{status: 200, events: 2, pause: time.Second, cut: true}, {status: 200, events: 4}}
		time.AfterFunc(500*time.Millisecond, func() {
			h.publishTenants(c, time.Hour, routes.TenantSource{Name: "huka270", Keys: []string{"cpih"}})
		})
		out, err := h.serve(withKeys(promptRequest("/resumable/"), "thhk"))
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(out.ids, qt.DeepEquals, []uint64{1, 2, 3, 4})
		c.Assert(h.sent[1].lastEventID, qt.Equals, uint64(2))
		c.Assert(h.sent[1].tenant, qt.Equals, "huka270")
		_, err = h.serve(withKeys(promptRequest("/resumable/"), "thhk"))
		c.Assert(err.Kind, qt.Equals, fault.Unauthorized)
	})
}

// TestWaitingRequestFollowsARenamedTenant guards against a server that is told a tenant
// which the routes in force don't have.
func TestWaitingRequestFollowsARenamedTenant(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.publishTenants(c, time.Hour, huka)
		h.script = []scriptedResponse{{status: 503, notRun: true, hang: 100 * time.Millisecond}, {status: 200}}
		time.AfterFunc(50*time.Millisecond, func() {
			h.publishTenants(c, time.Hour, routes.TenantSource{Name: "huka271", Keys: huka.Keys})
		})
		_, err := h.serve(withKeys(plainRequest("/unsafe/"), "thhk"))
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(h.sent[0].tenant, qt.Equals, "huka270")
		c.Assert(h.sent[1].tenant, qt.Equals, "huka271")
	})
}

// TestEveryTransmissionNamesTheTenantAndItsRank covers prefill, run and the resumption of a
// stream, for tenants of different urgency.
func TestEveryTransmissionNamesTheTenantAndItsRank(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.publishTenants(c, time.Hour,
			routes.TenantSource{Name: "urgent", Keys: []string{"u"}, Priority: 1},
			routes.TenantSource{Name: "patient", Keys: []string{"p"}, Priority: 4})
		for _, tc := range []struct {
			key, tenant string
			rank        int
		}{{"u", "urgent", 0}, {"p", "patient", 5}} {
			h.sent = nil
			// The retry budget counts the last 10 s.
			time.Sleep(11 * time.Second)
			h.prefillScript = []scriptedResponse{{status: 200}}
			h.script = []scriptedResponse{{status: 200, events: 1, cut: true}, {status: 200, events: 2}}
			_, err := h.serve(withKeys(longPrompt(), tc.key))
			c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(len(h.sent) >= 3, qt.IsTrue)
			c.Assert(h.sent[0].prefill, qt.IsTrue)
			for _, sent := range h.sent {
				c.Check(sent.tenant, qt.Equals, tc.tenant)
				c.Check(sent.priority, qt.Equals, tc.rank)
			}
		}
	})
}

// TestRefusedKeysAreLoggedOnceASecond guards against a log filled by callers without keys.
func TestRefusedKeysAreLoggedOnceASecond(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		var lines []string
		h.relay.Log = funcr.NewJSON(func(line string) { lines = append(lines, line) }, funcr.Options{})
		h.publishTenants(c, time.Hour, huka)
		for range 50 {
			_, err := h.serve(withKeys(plainRequest("/safe/"), "secret-key"))
			c.Assert(err.Kind, qt.Equals, fault.Unauthorized)
			c.Assert(err.Error(), qt.Not(qt.Contains), "secret-key")
			time.Sleep(50 * time.Millisecond)
		}
		c.Assert(lines, qt.HasLen, 3)
		c.Assert(h.relay.RefusedKeys(), qt.Equals, uint64(50))
		for _, line := range lines {
			c.Check(line, qt.Contains, `"request":"r","route":"/safe/"`)
			c.Check(strings.Contains(line, "secret-key"), qt.IsFalse)
		}
	})
}
