package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/relay"
)

func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	for name, first := range map[string]scriptedResponse{
		"no response":    {noResponse: true},
		"truncated body": {status: 200, cut: true},
		"server error":   {status: 500, body: "failed"},
		"hangs":          {hang: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(c *qt.C, h *harness) {
				h.script = []scriptedResponse{first}
				out, err := h.call("/unsafe/x")
				c.Assert(h.sent, qt.HasLen, 1)
				if first.status == 500 {
					c.Assert(out.status, qt.Equals, 500)
					return
				}
				c.Assert(err != nil, qt.IsTrue)
				c.Assert(err.Ran, qt.Not(qt.Equals), fault.RanNo)
			})
		})
	}
}

func TestNonIdempotentRequestThatDidNotRunIsRetried(t *testing.T) {
	for name, first := range map[string]scriptedResponse{
		"not sent": {notSent: true},
		"refused":  {status: 503, notRun: true},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(c *qt.C, h *harness) {
				h.script = []scriptedResponse{first, {status: 200, body: "ok"}}
				out, err := h.call("/unsafe/x")
				c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
				c.Assert(out.body, qt.Equals, "ok")
			})
		})
	}
}

func TestRefusalByAllServersSaysNotRun(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.script = []scriptedResponse{{status: 503, notRun: true}, {status: 503, notRun: true}, {status: 200}}
		_, err := h.call("/unsafe/x")
		c.Assert(err != nil, qt.IsTrue)
		c.Assert(err.Ran, qt.Equals, fault.RanNo)
		c.Assert(err.RetryAfter > 0, qt.IsTrue)
		c.Assert(h.sent, qt.HasLen, 2)
	})
}

func TestIdempotentRequestIsRetriedOnAnotherServer(t *testing.T) {
	for name, first := range map[string]scriptedResponse{
		"no response":  {noResponse: true},
		"server error": {status: 500},
		"cut":          {status: 200, cut: true},
		"hangs":        {hang: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(c *qt.C, h *harness) {
				h.script = []scriptedResponse{first, {status: 200, body: "ok"}}
				out, err := h.call("/safe/x")
				c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
				c.Assert(out.body, qt.Equals, "ok")
				c.Assert(h.sent, qt.HasLen, 2)
				c.Assert(h.sent[0].server, qt.Not(qt.Equals), h.sent[1].server)
				c.Assert(h.sent[1].timeLeft <= 5*time.Second, qt.IsTrue)
			})
		})
	}
}

func TestLastFailureIsRelayed(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.script = []scriptedResponse{{status: 500, body: "one"}, {status: 500, body: "two"}, {status: 200}}
		out, err := h.call("/safe/x")
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(out.status, qt.Equals, 500)
		c.Assert(out.body, qt.Equals, "two")
	})
}

func TestRetryBudgetLimitsRetries(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		for range 10 {
			h.script = []scriptedResponse{{noResponse: true}, {noResponse: true}}
			_, _ = h.call("/safe/x")
		}
		c.Assert(len(h.sent), qt.Equals, 10+3)
	})
}

func TestUnresumableStreamIsSentOnce(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.script = []scriptedResponse{{status: 200, events: 3, cut: true}, {status: 200, events: 9}}
		out, err := h.call("/stream/x")
		c.Assert(fault.Is(err, fault.StreamCut), qt.IsTrue)
		c.Assert(out.ids, qt.DeepEquals, []uint64{1, 2, 3})
		c.Assert(h.sent, qt.HasLen, 1)
	})
}

func TestResumableStreamContinuesAfterLastEvent(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.script = []scriptedResponse{{status: 200, events: 3, cut: true}, {status: 200, events: 6}}
		out, err := h.call("/resumable/x")
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(out.ids, qt.DeepEquals, []uint64{1, 2, 3, 4, 5, 6})
		c.Assert(h.sent[1].lastEventID, qt.Equals, uint64(3))
		c.Assert(h.sent[0].server, qt.Not(qt.Equals), h.sent[1].server)
	})
}

func TestLastEventIDOfCallerIsKept(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.script = []scriptedResponse{{noResponse: true}, {status: 200, events: 6}}
		out, err := h.serve(&relay.Request{ID: "r", Host: "h", Path: "/resumable/x", Arrived: time.Now(), LastEventID: 4})
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(out.ids, qt.DeepEquals, []uint64{5, 6})
		c.Assert(h.sent[1].lastEventID, qt.Equals, uint64(4))
	})
}

// TestPausedStreamIsNotCancelled checks that a stream is not cancelled for a pause
// between events, whether or not the retry budget has a retry left.
func TestPausedStreamIsNotCancelled(t *testing.T) {
	for _, retriesTaken := range []int{0, 3} {
		withHarness(t, func(c *qt.C, h *harness) {
			for range retriesTaken {
				h.script = append(h.script, scriptedResponse{status: 500}, scriptedResponse{status: 200})
				_, _ = h.call("/safe/x")
			}
			h.sent = nil
			h.script = []scriptedResponse{{status: 200, events: 4, pause: 3 * time.Second}}
			out, err := h.call("/resumable/x")
			c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(out.ids, qt.DeepEquals, []uint64{1, 2, 3, 4})
			c.Assert(h.sent, qt.HasLen, 1)
		})
	}
}

// TestSlowAttemptContinuesWithoutRetryBudget checks that the watchdog does not cancel
// a slow attempt when the retry budget does not permit another one.
func TestSlowAttemptContinuesWithoutRetryBudget(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		for range 3 {
			h.script = []scriptedResponse{{status: 500}, {status: 200}}
			_, _ = h.call("/safe/x")
		}
		h.script = []scriptedResponse{{hang: 4 * time.Second, status: 200, body: "late"}}
		out, err := h.call("/safe/x")
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(out.body, qt.Equals, "late")
	})
}

// TestStreamThatEndsWithinAnEventIsNotComplete reads a stream that a server ended within
// an event, where the caller must not take the events before it for a whole response.
func TestStreamThatEndsWithinAnEventIsNotComplete(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.script = []scriptedResponse{{status: 200, raw: "id: 1\ndata: a\n\nid: 2\ndata: b"}}
		out, err := h.call("/stream/x")
		c.Assert(err != nil, qt.IsTrue)
		c.Assert(fault.Is(err, fault.StreamCut), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(out.ids, qt.DeepEquals, []uint64{1})
	})
}

// TestRetryBudgetRefusalSaysNothingAboutTheServer exhausts the retry budget. An attempt
// that it refuses contacts no server, so none may be avoided for it.
func TestRetryBudgetRefusalSaysNothingAboutTheServer(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		for range 4 {
			h.script = []scriptedResponse{{status: 500}, {status: 200}}
			_, _ = h.call("/safe/x")
		}
		c.Assert(h.outcomes[len(h.outcomes)-1], qt.Equals, "abandoned")
	})
}

// TestLongPromptIsResumedAfterAPause cuts the stream of a long prompt later than a caller
// is assumed to wait for the first event. The caller has events and is still connected,
// so another server continues the stream.
func TestLongPromptIsResumedAfterAPause(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		slowPrefill := scriptedResponse{status: 200, hang: 100 * time.Millisecond}
		h.prefillScript = []scriptedResponse{slowPrefill, slowPrefill}
		h.script = []scriptedResponse{{status: 200, events: 2, pause: 3 * time.Second, cut: true}, {status: 200, events: 4}}
		out, err := h.serve(longPrompt())
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(out.ids, qt.DeepEquals, []uint64{1, 2, 3, 4})
	})
}

func longPrompt() *relay.Request {
	return &relay.Request{
		ID: "r", Host: "h", Path: "/resumable/x", Arrived: time.Now(),
		Prompt: relay.Prompt{Model: "m", Tokens: 5000, MaxOutputTokens: 10, Segments: []relay.PromptSegment{{ID: "a", Tokens: 4000}, {ID: "b", Tokens: 1000}}},
	}
}

func TestLongPromptIsPrefilledSeparately(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.script = []scriptedResponse{{status: 200, events: 2}}
		out, err := h.serve(longPrompt())
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(out.ids, qt.HasLen, 2)
		c.Assert(h.sent, qt.HasLen, 2)
		c.Assert(h.sent[0].prefill, qt.IsTrue)
		c.Assert(h.sent[0].server, qt.Equals, "prefill-1")
		c.Assert(h.sent[1].cache, qt.Equals, "handle")
	})
}

func TestFailedPrefillFallsBackToOneServer(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.prefillScript = []scriptedResponse{{status: 503}}
		h.script = []scriptedResponse{{status: 200, events: 2}}
		out, err := h.serve(longPrompt())
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(out.ids, qt.HasLen, 2)
		c.Assert(h.sent[1].cache, qt.Equals, "")
	})
}

func TestUnusedCacheIsReleased(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.script = []scriptedResponse{{notSent: true}, {notSent: true}, {notSent: true}}
		_, err := h.serve(longPrompt())
		c.Assert(err != nil, qt.IsTrue)
		c.Assert(err.Ran, qt.Equals, fault.RanNo)
		synctest.Wait()
		c.Assert(h.released, qt.DeepEquals, []string{"handle"})
	})
}

func TestRouteTimeoutEndsAttempt(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.script = []scriptedResponse{{hang: time.Hour}}
		began := time.Now()
		_, err := h.call("/unsafe/x")
		c.Assert(fault.Is(err, fault.DeadlineExceeded), qt.IsTrue)
		c.Assert(err.Ran, qt.Equals, fault.RanUnknown)
		c.Assert(time.Since(began), qt.Equals, 5*time.Second)
	})
}

func TestCallerTimeoutEndsAttempt(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.script = []scriptedResponse{{hang: time.Hour}}
		began := time.Now()
		_, _ = h.serve(&relay.Request{ID: "r", Host: "h", Path: "/unsafe/x", Arrived: began, Timeout: time.Second})
		c.Assert(time.Since(began), qt.Equals, time.Second)
		c.Assert(h.sent[0].timeLeft, qt.Equals, time.Second)
	})
}

// TestBodyLimitOfOldRoutesIsNotFinal guards against a 413 by a limit that may have been
// raised.
func TestBodyLimitOfOldRoutesIsNotFinal(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		v := *h.views.Load()
		document := *v.Routes
		document.Limits.MaxBodyBytes = 1000
		v.Routes, v.LeaseUntil = &document, time.Now().Add(3*time.Second)
		h.views.Publish(&v)
		h.relay.MaxBodyBytes = 4000
		c.Assert(h.relay.BodyLimit(), qt.Equals, int64(1000))
		time.Sleep(2 * time.Second)
		c.Assert(h.relay.BodyLimit(), qt.Equals, int64(4000))
	})
}

// TestSuspendedEntryDeniesNoRoute guards against a 404 by routes that were replaced while
// the VM of the entry was suspended with its clock.
func TestSuspendedEntryDeniesNoRoute(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		leased := *h.views.Load()
		leased.LeaseUntil = time.Now().Add(3 * time.Second)
		h.views.Publish(&leased)
		h.suspended = 5 * time.Second
		_, err := h.call("/none/x")
		c.Assert(fault.Is(err, fault.NotReady), qt.IsTrue, qt.Commentf("%v", err))
	})
}

// TestUnmatchedRequestIsNotFoundOnlyByAFreshView guards against a 404 by routes that may
// have been replaced, which must be in force 2 s after their acknowledgement. Requests that
// the last routes allow are served all the same.
func TestUnmatchedRequestIsNotFoundOnlyByAFreshView(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		leased := *h.views.Load()
		leased.LeaseUntil = time.Now().Add(3 * time.Second)
		h.views.Publish(&leased)
		time.Sleep(time.Second)
		_, err := h.call("/none/x")
		c.Assert(fault.Is(err, fault.NotFound), qt.IsTrue)
		time.Sleep(time.Second)
		_, err = h.call("/none/x")
		c.Assert(fault.Is(err, fault.NotReady), qt.IsTrue)
		c.Assert(err.Ran, qt.Equals, fault.RanNo)
		c.Assert(err.RetryAfter > 0, qt.IsTrue)
		_, err = h.call("/unsafe/x")
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		h.views.Publish(&view.View{Term: 1, LeaseOptional: true})
		_, err = h.call("/none/x")
		c.Assert(fault.Is(err, fault.NotReady), qt.IsTrue)
		c.Assert(err.Ran, qt.Equals, fault.RanNo)
	})
}
