package relay_test

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/relay"
)

// suspect publishes a view in which the segments of these ids are suspects since now.
func (h *harness) suspect(ids ...string) {
	var list quarantine.List
	for _, id := range ids {
		list.Suspects = append(list.Suspects, quarantine.Suspect{Segment: key(id), Since: time.Now()})
	}
	h.publishSuspects(list)
}

func (h *harness) publishSuspects(list quarantine.List) {
	next := *h.views.Load()
	slices.SortFunc(list.Suspects, func(a, b quarantine.Suspect) int { return cmp.Compare(a.Segment, b.Segment) })
	next.Segments = list
	next.LeaseUntil = time.Now().Add(3 * time.Second)
	h.views.Publish(&next)
}

func TestRequestWithASuspectIsRefusedUnsent(t *testing.T) {
	for name, tc := range map[string]struct{ timeout, wait time.Duration }{
		"long deadline": {5 * time.Second, time.Second}, "short deadline": {2 * time.Second, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(c *qt.C, h *harness) {
				h.suspect("b")
				began := time.Now()
				req := promptRequest("/stream/")
				req.Timeout = tc.timeout
				_, err := h.serve(req)
				c.Assert(err.Kind, qt.Equals, fault.Quarantined)
				c.Assert(err.Ran, qt.Equals, fault.RanNo)
				c.Assert(err.RetryAfter, qt.Equals, time.Second)
				c.Assert(time.Since(began), qt.Equals, tc.wait)
				c.Assert(h.sent, qt.HasLen, 0)
				c.Assert(h.refusals, qt.Equals, 1)
				c.Assert(h.relay.Placer.OwnLoads(), qt.HasLen, 0)
				// The request no longer wants to be a probe.
				sleep(time.Second)
				c.Assert(h.control.listed(), qt.HasLen, 0)
			})
		})
	}
}

// TestWaitingRequestProceedsOnceItsSuspectsAreCleared also shows that it holds no server
// meanwhile.
func TestWaitingRequestProceedsOnceItsSuspectsAreCleared(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.suspect("a", "b")
		h.script = []scriptedResponse{{status: 200, events: 2}}
		var calls sync.WaitGroup
		calls.Go(func() {
			_, err := h.serve(promptRequest("/stream/"))
			c.Check(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		})
		sleep(300 * time.Millisecond)
		c.Assert(h.relay.Placer.OwnLoads(), qt.HasLen, 0)
		h.suspect("a")
		synctest.Wait()
		c.Assert(h.sent, qt.HasLen, 0)
		h.suspect()
		calls.Wait()
		c.Assert(h.sent, qt.HasLen, 1)
	})
}

func TestWaitingRequestIsRefusedOnceItsSuspectIsQuarantined(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.suspect("b")
		time.AfterFunc(300*time.Millisecond, func() {
			h.publishSuspects(quarantine.List{Quarantined: []quarantine.Entry{{Segment: key("b"), Until: time.Now().Add(time.Minute).UnixMilli()}}})
		})
		began := time.Now()
		_, err := h.serve(promptRequest("/stream/"))
		c.Assert(err.Kind, qt.Equals, fault.Quarantined)
		c.Assert(time.Since(began), qt.Equals, 300*time.Millisecond)
		c.Assert(h.sent, qt.HasLen, 0)
	})
}

// TestWaitEndsWithTheCallerAndTheProcess guards against goroutines that outlive them.
func TestWaitEndsWithTheCallerAndTheProcess(t *testing.T) {
	for name, end := range map[string]func(h *harness, cancel func()){
		"caller": func(_ *harness, cancel func()) { cancel() },
		"stop":   func(h *harness, _ func()) { h.relay.EndAt(time.Now()) },
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(c *qt.C, h *harness) {
				h.suspect("b")
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				time.AfterFunc(100*time.Millisecond, func() { end(h, cancel) })
				began := time.Now()
				err := h.relay.Serve(ctx, promptRequest("/stream/"), &fakeSink{})
				c.Assert(fault.From(err).Ran, qt.Equals, fault.RanNo)
				c.Assert(time.Since(began), qt.Equals, 100*time.Millisecond)
			})
		})
	}
}

// TestProbeRunsWholeOnOneEngine guards against probes that cost two engines: one for the
// prefill and one for the response, or one to copy a KV cache from.
func TestProbeRunsWholeOnOneEngine(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.control.grants = true
		h.suspect("a")
		h.script = []scriptedResponse{{status: 200, events: 2, pause: 10 * time.Millisecond}}
		req := longPrompt()
		req.Prompt.Segments[0].ID = "a"
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

// TestSuspectFoundDuringPlacementHoldsTheRequestBack guards against requests that were
// waiting for a prefill engine when the segment became a suspect.
func TestSuspectFoundDuringPlacementHoldsTheRequestBack(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.prefillScript = []scriptedResponse{{status: 200, hang: 200 * time.Millisecond}}
		req := longPrompt()
		req.Prompt.Segments[0].ID = "a"
		time.AfterFunc(100*time.Millisecond, func() { h.suspect("a") })
		_, err := h.serve(req)
		c.Assert(err.Kind, qt.Equals, fault.Quarantined)
		c.Assert(err.Ran, qt.Equals, fault.RanNo)
		c.Assert(h.sent, qt.HasLen, 1)
		c.Assert(h.sent[0].prefill, qt.IsTrue)
		c.Assert(h.relay.Placer.OwnLoads(), qt.HasLen, 0)
		synctest.Wait()
		c.Assert(h.released, qt.HasLen, 1)
	})
}

// TestResumedStreamWaitsForItsSuspect guards against a stream whose engine ended being
// resumed on the next one although the prompt may crash it.
func TestResumedStreamWaitsForItsSuspect(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.script = []scriptedResponse{{status: 200, events: 2, pause: 500 * time.Millisecond, cutByPeer: true}, {status: 200, events: 2}}
		time.AfterFunc(100*time.Millisecond, func() { h.suspect("b") })
		time.AfterFunc(800*time.Millisecond, func() { h.suspect() })
		began := time.Now()
		_, err := h.serve(promptRequest("/resumable/"))
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(time.Since(began), qt.Equals, 800*time.Millisecond)
		c.Assert(h.sent, qt.HasLen, 2)
	})
}

// TestRequestThatMayHaveRunIsNotCalledUnsent guards against a refusal that promises the
// caller that its request has not run after an earlier attempt has begun.
func TestRequestThatMayHaveRunIsNotCalledUnsent(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.script = []scriptedResponse{{status: 200, events: 2, pause: 500 * time.Millisecond, cutByPeer: true}}
		time.AfterFunc(100*time.Millisecond, func() { h.suspect("b") })
		_, err := h.serve(promptRequest("/resumable/"))
		c.Assert(err.Ran, qt.Equals, fault.RanYes)
		c.Assert(h.sent, qt.HasLen, 1)
	})
}

// TestPopularSegmentsStayInService guards against a lost rack that makes suspects of the
// segments in common use.
func TestPopularSegmentsStayInService(t *testing.T) {
	for name, tc := range map[string]struct {
		ago       time.Duration
		probation bool
		sent      int
	}{
		"recent": {4 * time.Second, false, 2}, "old": {6 * time.Second, false, 1}, "probation": {4 * time.Second, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(c *qt.C, h *harness) {
				h.script = []scriptedResponse{{status: 200, events: 2}, {status: 200, events: 2}}
				_, err := h.serve(promptRequest("/stream/"))
				c.Assert(err == nil, qt.IsTrue)
				sleep(tc.ago)
				h.publishSuspects(quarantine.List{Suspects: []quarantine.Suspect{{Segment: key("a"), Since: time.Now(), Probation: tc.probation}}})
				h.serve(promptRequest("/stream/"))
				c.Assert(h.sent, qt.HasLen, tc.sent)
			})
		})
	}
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

// TestSuspectsConcernOnlySharedSegmentsOfEngines guards against requests that wait although
// no engine can crash on a shared segment of theirs.
func TestSuspectsConcernOnlySharedSegmentsOfEngines(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.suspect("own", "c")
		began := time.Now()
		h.script = []scriptedResponse{{status: 200, events: 2}, {status: 200, events: 2}, {status: 200}}
		for _, req := range []*relay.Request{promptRequest("/stream/"), {ID: "r", Host: "h", Path: "/stream/", Arrived: time.Now()}, {ID: "r", Host: "h", Path: "/safe/", Arrived: time.Now()}} {
			_, err := h.serve(req)
			c.Assert(err == nil, qt.IsTrue)
		}
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
	})
}
