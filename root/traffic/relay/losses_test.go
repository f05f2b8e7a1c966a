package relay_test

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// checkTime is longer than any check takes.
const checkTime = 5 * time.Second

func refused(string) error { return syscall.ECONNREFUSED }

// TestEndBeforeTheHeadIsALossIfTheEngineIsGone guards against prompts that crash one
// engine after the other before it sends the head of a response, unnoticed.
func TestEndBeforeTheHeadIsALossIfTheEngineIsGone(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.check = refused
		h.script = []scriptedResponse{{noResponse: true}, {status: 200, events: 2}}
		_, err := h.serve(promptRequest("/resumable/"))
		c.Assert(err == nil, qt.IsTrue)
		sleep(checkTime)
		c.Assert(h.lost, qt.DeepEquals, map[quarantine.Segment][]string{
			key("a"): {h.sent[0].server}, key("b"): {h.sent[0].server},
		})
		c.Assert(h.checks, qt.DeepEquals, []string{"gone"})
	})
}

// TestEndOfAPrefillCallIsALossIfTheEngineIsGone guards against prompts that crash prefill
// engines unnoticed, before the head of the response or after it.
func TestEndOfAPrefillCallIsALossIfTheEngineIsGone(t *testing.T) {
	for name, accepts := range map[string]bool{"gone": false, "accepting": true} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(c *qt.C, h *harness) {
				if !accepts {
					h.check = refused
				}
				h.prefillScript = []scriptedResponse{{noResponse: true}}
				h.script = []scriptedResponse{{status: 200, events: 2}}
				_, err := h.serve(longPrompt())
				c.Assert(err == nil, qt.IsTrue)
				sleep(checkTime)
				c.Assert(h.checked[0], qt.Equals, "prefill-1")
				c.Assert(len(h.lost) > 0, qt.Equals, !accepts)
			})
		})
	}
}

// onlyServer returns the view with one server alone.
func onlyServer(h *harness, id string) *view.View {
	v := *h.views.Load()
	v.Servers = nil
	for _, s := range h.views.Load().Servers {
		if s.ID == id {
			v.Servers = append(v.Servers, s)
		}
	}
	return &v
}

// TestUnreachableEngineIsLostWithoutAResponse guards against engines whose host goes away
// with open connections: nothing closes them, and only the watchdog ends the attempt.
func TestUnreachableEngineIsLostWithoutAResponse(t *testing.T) {
	for name, path := range map[string]string{"watchdog": "/resumable/", "deadline": "/stream/"} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(c *qt.C, h *harness) {
				h.check = func(string) error { return os.ErrDeadlineExceeded }
				h.script = []scriptedResponse{{hang: time.Minute}, {status: 200, events: 2}}
				_, err := h.serve(promptRequest(path))
				c.Assert(err == nil, qt.Equals, path == "/resumable/")
				sleep(checkTime)
				c.Assert(h.lost, qt.HasLen, 2)
			})
		})
	}
}

// TestSilentHostIsCheckedBeforeTheFirstOutput covers connections that the system ends
// because the host acknowledges nothing. After output has begun this shows nothing about
// the prompt.
func TestSilentHostIsCheckedBeforeTheFirstOutput(t *testing.T) {
	for name, tc := range map[string]struct {
		script scriptedResponse
		lost   int
	}{
		"before the head":         {scriptedResponse{silentHost: true}, 2},
		"before the first output": {scriptedResponse{silentHost: true, status: 200}, 2},
		"after output":            {scriptedResponse{silentHost: true, status: 200, events: 1}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(c *qt.C, h *harness) {
				h.check = func(string) error { return os.ErrDeadlineExceeded }
				h.script = []scriptedResponse{tc.script, {status: 200, events: 2}}
				_, err := h.serve(promptRequest("/resumable/"))
				c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
				sleep(checkTime)
				c.Assert(h.lost, qt.HasLen, tc.lost)
			})
		})
	}
}

// TestResponseThatStallsAsItBeginsIsALoss guards against engines that stop answering after
// the first event with open connections, which nothing but the deadline tells of. A longer
// output shows that they survive the prompt, or at least says nothing about it.
func TestResponseThatStallsAsItBeginsIsALoss(t *testing.T) {
	for name, tc := range map[string]struct {
		script scriptedResponse
		check  func(string) error
		lost   int
	}{
		"gone":          {scriptedResponse{status: 200, events: 2, pause: time.Minute}, refused, 2},
		"accepting":     {scriptedResponse{status: 200, events: 2, pause: time.Minute}, nil, 0},
		"longer output": {scriptedResponse{status: 200, events: 3, pause: time.Minute, gap: 300 * time.Millisecond}, refused, 0},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(c *qt.C, h *harness) {
				if tc.check != nil {
					h.check = tc.check
				}
				h.script = []scriptedResponse{tc.script}
				h.serve(promptRequest("/stream/"))
				sleep(checkTime)
				c.Assert(h.lost, qt.HasLen, tc.lost)
			})
		})
	}
}

// TestStallAtAnEngineThatRespondsToOthersIsNoLoss guards against blaming the prompt when the
// engine has begun other responses since.
func TestStallAtAnEngineThatRespondsToOthersIsNoLoss(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.check = refused
		h.relay.Placer.SetView(onlyServer(h, "decode-1"))
		h.script = []scriptedResponse{{status: 200, events: 2, pause: time.Minute}, {status: 200, events: 2}}
		var calls sync.WaitGroup
		calls.Go(func() { h.serve(promptRequest("/stream/")) })
		sleep(time.Second)
		_, err := h.serve(promptRequest("/stream/"))
		c.Assert(err == nil, qt.IsTrue)
		calls.Wait()
		sleep(checkTime)
		c.Assert(h.checked, qt.HasLen, 0)
		c.Assert(h.lost, qt.HasLen, 0)
	})
}

// TestSlowEngineThatRespondsToOthersIsNotChecked guards against dials, and losses by a full
// backlog, for requests that only took too long.
func TestSlowEngineThatRespondsToOthersIsNotChecked(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.check = refused
		h.relay.Placer.SetView(onlyServer(h, "decode-1"))
		h.script = []scriptedResponse{{hang: time.Minute}, {status: 200, events: 2}}
		var calls sync.WaitGroup
		calls.Go(func() { h.serve(promptRequest("/stream/")) })
		sleep(time.Second)
		_, err := h.serve(promptRequest("/stream/"))
		c.Assert(err == nil, qt.IsTrue)
		calls.Wait()
		sleep(checkTime)
		c.Assert(h.checked, qt.HasLen, 0)
		c.Assert(h.lost, qt.HasLen, 0)
	})
}

// TestUnframedResponseIsCompleteOnlyIfTheEngineIsThere guards against an engine that ends
// as a response without a length begins, which looks like the end of the response and
// would clear the segment on which it crashed.
func TestUnframedResponseIsCompleteOnlyIfTheEngineIsThere(t *testing.T) {
	for name, script := range map[string]scriptedResponse{
		"stream": {status: 200, events: 1, unframed: true}, "body": {status: 200, body: "x", unframed: true},
	} {
		for _, gone := range []bool{true, false} {
			t.Run(fmt.Sprint(name, " gone ", gone), func(t *testing.T) {
				withHarness(t, func(c *qt.C, h *harness) {
					if gone {
						h.check = refused
					}
					h.script = []scriptedResponse{script}
					_, err := h.serve(promptRequest("/resumable/"))
					c.Assert(err == nil, qt.IsTrue)
					h.mu.Lock()
					c.Check(h.completed, qt.HasLen, 0)
					h.mu.Unlock()
					sleep(checkTime)
					c.Assert(len(h.lost) == 2, qt.Equals, gone)
					c.Assert(len(h.completed) == 2, qt.Equals, !gone)
				})
			})
		}
	}
}

// TestLongUnframedResponseNeedsNoCheck covers output that lasted long enough to show that
// the engine survives.
func TestLongUnframedResponseNeedsNoCheck(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.check = refused
		h.script = []scriptedResponse{{status: 200, events: 2, pause: 1500 * time.Millisecond, unframed: true}}
		_, err := h.serve(promptRequest("/resumable/"))
		c.Assert(err == nil, qt.IsTrue)
		sleep(checkTime)
		c.Assert(h.checked, qt.HasLen, 0)
		c.Assert(len(h.completed) > 0, qt.IsTrue)
	})
}

// TestErrorStatusIsNoCompletion guards against a segment that is cleared by a request that
// the engine rejected before it ran the prompt.
func TestErrorStatusIsNoCompletion(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.script = []scriptedResponse{{status: 400, body: "x"}}
		_, err := h.serve(promptRequest("/resumable/"))
		c.Assert(err == nil, qt.IsTrue)
		c.Assert(h.completed, qt.HasLen, 0)
	})
}

// TestPlannedStopIsNoLoss guards against segments that become suspects when engines are
// updated one after the other.
func TestPlannedStopIsNoLoss(t *testing.T) {
	for name, script := range map[string]scriptedResponse{
		"before the head": {noResponse: true, hang: 200 * time.Millisecond},
		"within a stream": {status: 200, events: 2, pause: 100 * time.Millisecond, cutByPeer: true},
	} {
		for _, listed := range []bool{true, false} {
			t.Run(fmt.Sprint(name, " listed ", listed), func(t *testing.T) {
				withHarness(t, func(c *qt.C, h *harness) {
					h.check = refused
					h.relay.Placer.SetView(onlyServer(h, "decode-1"))
					h.script = []scriptedResponse{script}
					var calls sync.WaitGroup
					calls.Go(func() { h.serve(promptRequest("/stream/")) })
					sleep(50 * time.Millisecond)
					v := onlyServer(h, "decode-1")
					v.Servers[0].State = fleet.Draining
					h.relay.Placer.SetView(v)
					if !listed {
						h.relay.Placer.SetView(onlyServer(h, "prefill-1"))
					}
					calls.Wait()
					sleep(checkTime)
					c.Assert(h.lost, qt.HasLen, 0)
				})
			})
		}
	}
}

// TestEngineMissingFromANewViewIsLost guards against losses that are dropped because a new
// leader's view lacks an engine that ended before it could tell the leader of itself.
func TestEngineMissingFromANewViewIsLost(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.check = refused
		h.relay.Placer.SetView(onlyServer(h, "decode-1"))
		h.script = []scriptedResponse{{noResponse: true, hang: 200 * time.Millisecond}}
		time.AfterFunc(50*time.Millisecond, func() { h.relay.Placer.SetView(onlyServer(h, "prefill-1")) })
		h.serve(promptRequest("/stream/"))
		sleep(checkTime)
		c.Assert(h.lost, qt.HasLen, 2)
	})
}

// TestEngineThatHasReturnedIsLost guards against a crash that goes unnoticed because the
// engine, or its successor at the address, accepts connections again.
func TestEngineThatHasReturnedIsLost(t *testing.T) {
	for name, successor := range map[string]fleet.Server{
		"same id": {ID: "decode-1", Incarnation: 2}, "new id": {ID: "decode-9"},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(c *qt.C, h *harness) {
				h.relay.Placer.SetView(onlyServer(h, "decode-1"))
				h.script = []scriptedResponse{{noResponse: true, hang: 200 * time.Millisecond}}
				var calls sync.WaitGroup
				calls.Go(func() { h.serve(promptRequest("/stream/")) })
				sleep(50 * time.Millisecond)
				v := onlyServer(h, "decode-1")
				v.Servers[0].ID, v.Servers[0].Incarnation = successor.ID, successor.Incarnation
				h.relay.Placer.SetView(v)
				calls.Wait()
				sleep(checkTime)
				c.Assert(h.lost, qt.HasLen, 2)
			})
		})
	}
}

// TestRequestsWithoutSharedSegmentsAreNotChecked guards against dials for services without
// engines and for prompts that share nothing.
func TestRequestsWithoutSharedSegmentsAreNotChecked(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.check = refused
		h.script = []scriptedResponse{{noResponse: true}, {noResponse: true}, {noResponse: true}, {noResponse: true}}
		h.call("/safe/")
		h.call("/stream/")
		req := promptRequest("/stream/")
		req.Prompt.Segments = req.Prompt.Segments[2:]
		h.serve(req)
		sleep(checkTime)
		c.Assert(h.checked, qt.HasLen, 0)
	})
}

// TestRequestThatWasNotSentIsNoLoss guards against losses for requests of which no byte was
// sent, as on a connection that the server closed before.
func TestRequestThatWasNotSentIsNoLoss(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.check = refused
		h.script = []scriptedResponse{{notSent: true}, {status: 200, events: 2}}
		_, err := h.serve(promptRequest("/stream/"))
		c.Assert(err == nil, qt.IsTrue)
		sleep(checkTime)
		c.Assert(h.checked, qt.HasLen, 0)
	})
}
