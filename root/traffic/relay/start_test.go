package relay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

func TestRequestWaitsForFirstRoutes(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		withRoutes := h.views.Load()
		h.relay.Started = time.Now()
		h.views.Publish(nil)
		began := time.Now()
		go func() {
			time.Sleep(300 * time.Millisecond)
			h.views.Publish(&view.View{Term: 1})
			time.Sleep(300 * time.Millisecond)
			h.views.Publish(withRoutes)
		}()
		h.script = []scriptedResponse{{status: 200, body: "ok"}}
		out, err := h.call("/unsafe/x")
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(out.body, qt.Equals, "ok")
		c.Assert(time.Since(began) >= 600*time.Millisecond, qt.IsTrue)
	})
}

func TestRequestIsRefusedAtOnceAfterStartupHold(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.relay.Started = time.Now()
		h.views.Publish(nil)
		began := time.Now()
		_, err := h.call("/unsafe/x")
		c.Assert(fault.Is(err, fault.NotReady), qt.IsTrue)
		held := time.Since(began)
		c.Assert(held > time.Second && held < 2*time.Second, qt.IsTrue, qt.Commentf("%s", held))
		began = time.Now()
		_, err = h.call("/unsafe/x")
		c.Assert(fault.Is(err, fault.NotReady), qt.IsTrue)
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
	})
}
