package relay_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
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
				c.Assert(h.probes, qt.HasLen, 0)
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

// TestSuspectFoundInTheQueueReachesNoPrefillEngine lets the second of two prompts wait for
// the only prefill engine of an entry that may send it one at a time.
func TestSuspectFoundInTheQueueReachesNoPrefillEngine(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		v := *h.views.Load()
		for n := range 8 {
			v.VMs = append(v.VMs, fleet.VM{ID: fmt.Sprint("vm-", n), Address: "http://vm"})
		}
		h.relay.Placer.SetView(&v)
		h.prefillScript = []scriptedResponse{{status: 200, hang: 300 * time.Millisecond}}
		h.script = []scriptedResponse{{status: 200, events: 2}}
		var calls sync.WaitGroup
		calls.Go(func() {
			_, err := h.serve(longPrompt())
			c.Check(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		})
		sleep(50 * time.Millisecond)
		time.AfterFunc(50*time.Millisecond, func() { h.suspect("x") })
		req := longPrompt()
		req.Prompt.Segments[0].ID = "x"
		_, err := h.serve(req)
		c.Assert(err.Kind, qt.Equals, fault.Quarantined)
		calls.Wait()
		c.Assert(h.sent, qt.HasLen, 2)
	})
}

// TestWaitsForSuspectsAddUp guards against a request that waits for one suspect after the
// other: it was cleared once, and the segment became a suspect again during the prefill.
func TestWaitsForSuspectsAddUp(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.prefillScript = []scriptedResponse{{status: 200, hang: 200 * time.Millisecond}}
		h.suspect("a")
		time.AfterFunc(700*time.Millisecond, func() { h.suspect() })
		time.AfterFunc(800*time.Millisecond, func() { h.suspect("a") })
		began := time.Now()
		_, err := h.serve(longPrompt())
		c.Assert(err.Kind, qt.Equals, fault.Quarantined)
		c.Assert(time.Since(began), qt.Equals, 1200*time.Millisecond)
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
