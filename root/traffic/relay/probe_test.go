package relay_test

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
)

// TestProbeRunsWholeOnOneEngine guards against probes that cost two engines: one for the
// prefill and one for the response, or one to copy a KV cache from.
func TestProbeRunsWholeOnOneEngine(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.control.grants = true
		h.suspect("a")
		h.script = []scriptedResponse{{status: 200, events: 2, pause: 10 * time.Millisecond}}
		req := longPrompt()
		req.Prompt.Segments[0].ID = "a"
		v := *h.views.Load()
		v.Servers = slices.Clone(v.Servers)
		for i := range v.Servers {
			v.Servers[i].Address = "http://" + v.Servers[i].ID
		}
		h.relay.Placer.SetView(&v)
		_, err := h.serve(req)
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(h.sent, qt.HasLen, 1)
		c.Assert(h.sent[0].prefill, qt.IsFalse)
		c.Assert(h.sent[0].copyFrom, qt.Equals, "")
		c.Assert(h.probes, qt.DeepEquals, []string{"completed"})
		sleep(time.Second)
		c.Assert(h.control.cleared, qt.DeepEquals, []quarantine.Segment{key("a")})
		c.Assert(h.control.listed(), qt.HasLen, 0)
	})
}

// TestFailedProbeIsReportedAndNotRetried covers a route with three attempts, for an engine
// that ends within the response and one that ends before its head.
func TestFailedProbeIsReportedAndNotRetried(t *testing.T) {
	for name, script := range map[string]scriptedResponse{
		"within the response": {status: 200, raw: "id: 1\n"}, "before the head": {noResponse: true},
		"unframed": {status: 200, events: 1, unframed: true}, "unreachable": {hang: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(c *qt.C, h *harness) {
				h.control.grants = true
				h.check = refused
				h.suspect("b")
				h.script = []scriptedResponse{script}
				h.serve(promptRequest("/resumable/"))
				c.Assert(h.sent, qt.HasLen, 1)
				sleep(time.Second)
				c.Assert(h.probes, qt.DeepEquals, []string{"failed"})
				c.Assert(h.control.listed(), qt.HasLen, 0)
				c.Assert(h.control.failures(), qt.HasLen, 1)
				c.Assert(h.control.failures()[0].Segments, qt.DeepEquals, []quarantine.Segment{key("b")})
				c.Assert(h.control.failures()[0].Server, qt.Equals, h.sent[0].server)
				c.Assert(h.lost, qt.HasLen, 2)
			})
		})
	}
}

// TestProbeThatStallsHasFailedIfTheEngineIsGone guards against probes without a result on
// engines that stop answering with open connections: each further one would cost an engine.
// Callers may leave a moment before the deadline, which ends the probe.
func TestProbeThatStallsHasFailedIfTheEngineIsGone(t *testing.T) {
	for name, script := range map[string]scriptedResponse{
		"before the head": {hang: time.Minute}, "after one event": {status: 200, events: 2, pause: time.Minute},
	} {
		for cause, timeout := range map[string]time.Duration{"deadline": time.Minute, "caller": 1900 * time.Millisecond} {
			t.Run(name+", "+cause, func(t *testing.T) {
				withHarness(t, func(c *qt.C, h *harness) {
					h.control.grants = true
					h.check = refused
					h.suspect("b")
					h.script = []scriptedResponse{script}
					ctx, leave := context.WithCancel(context.Background())
					defer time.AfterFunc(timeout, leave).Stop()
					h.relay.Serve(ctx, promptRequest("/resumable/"), &fakeSink{})
					c.Assert(h.sent, qt.HasLen, 1)
					sleep(checkTime)
					c.Assert(h.probes, qt.DeepEquals, []string{"failed"})
					c.Assert(h.control.failures(), qt.HasLen, 1)
				})
			})
		}
	}
}

// TestProbeIsListedUntilItsCheckEnds guards against a second probe of the segment, and a
// second engine, while the entry finds out about the first one.
func TestProbeIsListedUntilItsCheckEnds(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.control.grants = true
		h.check = func(string) error {
			time.Sleep(time.Second)
			return syscall.ECONNREFUSED
		}
		h.suspect("b")
		h.script = []scriptedResponse{{noResponse: true}}
		h.serve(promptRequest("/resumable/"))
		sleep(900 * time.Millisecond)
		c.Assert(h.control.listed(), qt.HasLen, 1)
		c.Assert(h.control.failures(), qt.HasLen, 0)
		sleep(time.Second)
		c.Assert(h.control.listed(), qt.HasLen, 0)
		c.Assert(h.control.failures(), qt.HasLen, 1)
	})
}

func TestProbeWithoutAResultIsNotRetriedOnceSent(t *testing.T) {
	for name, script := range map[string]scriptedResponse{
		"refused": {status: 503, notRun: true}, "failed": {status: 500}, "accepting": {noResponse: true},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(c *qt.C, h *harness) {
				h.control.grants = true
				h.suspect("b")
				h.script = []scriptedResponse{script}
				_, err := h.serve(promptRequest("/resumable/"))
				c.Assert(err != nil, qt.IsTrue)
				c.Assert(h.sent, qt.HasLen, 1)
				sleep(time.Second)
				c.Assert(h.probes, qt.DeepEquals, []string{"no_result"})
				c.Assert(h.control.listed(), qt.HasLen, 0)
				c.Assert(h.control.failures(), qt.HasLen, 0)
			})
		})
	}
}

// TestProbeThatReachedNoEngineIsPlacedAgain guards against sound requests that fail because
// the engine chosen for a probe is one that has just ended.
func TestProbeThatReachedNoEngineIsPlacedAgain(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.control.grants = true
		h.suspect("b")
		h.script = []scriptedResponse{{notSent: true}, {status: 200, events: 2}}
		_, err := h.serve(promptRequest("/stream/"))
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(h.sent, qt.HasLen, 1)
		c.Assert(h.probes, qt.DeepEquals, []string{"completed"})
	})
}

// TestOldGrantIsNotUsed guards against a probe beside that of another entry: the grant is
// too old once the connection to the first engine has failed.
func TestOldGrantIsNotUsed(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.control.grants = true
		h.suspect("b")
		h.script = []scriptedResponse{{notSent: true, hang: 1200 * time.Millisecond}, {status: 200, events: 2}}
		req := promptRequest("/stream/")
		// Placement refuses prompts whose prefill it expects to take as long as the hang.
		req.Prompt.Tokens = 0
		_, err := h.serve(req)
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(h.probes, qt.DeepEquals, []string{"no_result", "completed"})
	})
}

// TestSlowProbeIsNotCancelled guards against a watchdog that ends a probe, which has no
// other attempt.
func TestSlowProbeIsNotCancelled(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.control.grants = true
		h.suspect("b")
		h.script = []scriptedResponse{{status: 200, events: 2, hang: 4 * time.Second}}
		_, err := h.serve(promptRequest("/resumable/"))
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(h.sent, qt.HasLen, 1)
	})
}

// TestLongOutputEndsAProbe guards against grants that expire during long responses.
func TestLongOutputEndsAProbe(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.control.grants = true
		h.suspect("b")
		h.script = []scriptedResponse{{status: 200, events: 2, pause: 1500 * time.Millisecond, cut: true}, {status: 200, events: 2}}
		h.serve(promptRequest("/resumable/"))
		c.Assert(h.probes, qt.DeepEquals, []string{"completed"})
		c.Assert(h.sent, qt.HasLen, 1)
	})
}

// TestOnlyOneRequestIsTheProbe guards against a crowd of requests that all use one grant.
func TestOnlyOneRequestIsTheProbe(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.control.grants = true
		h.suspect("b")
		h.script = slices.Repeat([]scriptedResponse{{status: 200, events: 2, pause: 500 * time.Millisecond}}, 5)
		var calls sync.WaitGroup
		for range 5 {
			calls.Go(func() { h.serve(promptRequest("/stream/")) })
		}
		sleep(400 * time.Millisecond)
		c.Assert(h.sent, qt.HasLen, 1)
		h.suspect()
		calls.Wait()
		c.Assert(h.sent, qt.HasLen, 5)
	})
}

// TestLateGrantIsNotUsed guards against a probe beside that of another entry, which the
// leader has allowed since: by a process that was suspended, or one that no leader reaches.
func TestLateGrantIsNotUsed(t *testing.T) {
	for name, delay := range map[string]func(h *harness){
		"suspended":    func(h *harness) { h.suspended = 5 * time.Second },
		"lease is old": func(h *harness) { h.views.Load().LeaseUntil = time.Now() },
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(c *qt.C, h *harness) {
				h.suspect("b")
				time.AfterFunc(200*time.Millisecond, func() {
					delay(h)
					h.control.allow()
				})
				_, err := h.serve(promptRequest("/stream/"))
				c.Assert(err.Kind, qt.Equals, fault.Quarantined)
				c.Assert(h.sent, qt.HasLen, 0)
			})
		})
	}
}
