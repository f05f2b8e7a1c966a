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

func TestUnsafeWorkIsSentOnce(t *testing.T) {
	for name, first := range map[string]answer{
		"no answer":     {noAnswer: true},
		"cut answer":    {status: 200, cut: true},
		"own failure":   {status: 500, body: "failed"},
		"hangs forever": {hang: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, w *world) {
				w.script = []answer{first}
				out, err := w.call("/unsafe/x")
				c.Assert(w.sent, qt.HasLen, 1)
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

func TestUnsafeWorkThatDidNotRunGoesOn(t *testing.T) {
	for name, first := range map[string]answer{
		"not sent": {notSent: true},
		"refused":  {status: 503, notRun: true},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, w *world) {
				w.script = []answer{first, {status: 200, body: "ok"}}
				out, err := w.call("/unsafe/x")
				c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
				c.Assert(out.body, qt.Equals, "ok")
			})
		})
	}
}

func TestARefusalByServersSaysNotRun(t *testing.T) {
	inBubble(t, func(c *qt.C, w *world) {
		w.script = []answer{{status: 503, notRun: true}, {status: 503, notRun: true}, {status: 200}}
		_, err := w.call("/unsafe/x")
		c.Assert(err != nil, qt.IsTrue)
		c.Assert(err.Ran, qt.Equals, fault.RanNo)
		c.Assert(err.RetryAfter > 0, qt.IsTrue)
		c.Assert(w.sent, qt.HasLen, 2)
	})
}

func TestSafeWorkIsTriedAgainElsewhere(t *testing.T) {
	for name, first := range map[string]answer{
		"no answer": {noAnswer: true},
		"failure":   {status: 500},
		"cut":       {status: 200, cut: true},
		"hangs":     {hang: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, w *world) {
				w.script = []answer{first, {status: 200, body: "ok"}}
				out, err := w.call("/safe/x")
				c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
				c.Assert(out.body, qt.Equals, "ok")
				c.Assert(w.sent, qt.HasLen, 2)
				c.Assert(w.sent[0].server, qt.Not(qt.Equals), w.sent[1].server)
				c.Assert(w.sent[1].left <= 5*time.Second, qt.IsTrue)
			})
		})
	}
}

func TestTheLastFailureIsPassedOn(t *testing.T) {
	inBubble(t, func(c *qt.C, w *world) {
		w.script = []answer{{status: 500, body: "one"}, {status: 500, body: "two"}, {status: 200}}
		out, err := w.call("/safe/x")
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(out.status, qt.Equals, 500)
		c.Assert(out.body, qt.Equals, "two")
	})
}

func TestTheRetryBudgetBoundsFurtherTransmissions(t *testing.T) {
	inBubble(t, func(c *qt.C, w *world) {
		for range 10 {
			w.script = []answer{{noAnswer: true}, {noAnswer: true}}
			_, _ = w.call("/safe/x")
		}
		c.Assert(len(w.sent), qt.Equals, 10+3)
	})
}

func TestAStreamIsNotRunTwice(t *testing.T) {
	inBubble(t, func(c *qt.C, w *world) {
		w.script = []answer{{status: 200, events: 3, cut: true}, {status: 200, events: 9}}
		out, err := w.call("/stream/x")
		c.Assert(fault.Is(err, fault.StreamCut), qt.IsTrue)
		c.Assert(out.ids, qt.DeepEquals, []uint64{1, 2, 3})
		c.Assert(w.sent, qt.HasLen, 1)
	})
}

func TestAResumableStreamGoesOnAfterItsLastEvent(t *testing.T) {
	inBubble(t, func(c *qt.C, w *world) {
		w.script = []answer{{status: 200, events: 3, cut: true}, {status: 200, events: 6}}
		out, err := w.call("/resumable/x")
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(out.ids, qt.DeepEquals, []uint64{1, 2, 3, 4, 5, 6})
		c.Assert(w.sent[1].after, qt.Equals, uint64(3))
		c.Assert(w.sent[0].server, qt.Not(qt.Equals), w.sent[1].server)
	})
}

func TestACallersOwnPositionIsKept(t *testing.T) {
	inBubble(t, func(c *qt.C, w *world) {
		w.script = []answer{{noAnswer: true}, {status: 200, events: 6}}
		out, err := w.serve(&relay.Request{ID: "r", Host: "h", Path: "/resumable/x", Arrived: time.Now(), After: 4})
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(out.ids, qt.DeepEquals, []uint64{5, 6})
		c.Assert(w.sent[1].after, qt.Equals, uint64(4))
	})
}

// TestASilentStreamIsNotCut pauses a stream for much longer than its events may
// be apart: it goes on whole, with and without a retry left.
func TestASilentStreamIsNotCut(t *testing.T) {
	for _, spent := range []int{0, 3} {
		inBubble(t, func(c *qt.C, w *world) {
			for range spent {
				w.script = append(w.script, answer{status: 500}, answer{status: 200})
				_, _ = w.call("/safe/x")
			}
			w.sent = nil
			w.script = []answer{{status: 200, events: 4, pause: 3 * time.Second}}
			out, err := w.call("/resumable/x")
			c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(out.ids, qt.DeepEquals, []uint64{1, 2, 3, 4})
			c.Assert(w.sent, qt.HasLen, 1)
		})
	}
}

// TestAnAttemptEndsEarlyOnlyForAnother has a server that answers late and no
// retry left in the budget: the wait goes on.
func TestAnAttemptEndsEarlyOnlyForAnother(t *testing.T) {
	inBubble(t, func(c *qt.C, w *world) {
		for range 3 {
			w.script = []answer{{status: 500}, {status: 200}}
			_, _ = w.call("/safe/x")
		}
		w.script = []answer{{hang: 4 * time.Second, status: 200, body: "late"}}
		out, err := w.call("/safe/x")
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(out.body, qt.Equals, "late")
	})
}

func longPrompt() *relay.Request {
	return &relay.Request{
		ID: "r", Host: "h", Path: "/resumable/x", Arrived: time.Now(),
		Prompt: relay.Prompt{Model: "m", Tokens: 5000, MaxOutput: 10, Parts: []relay.PromptPart{{ID: "a", Tokens: 4000}, {ID: "b", Tokens: 1000}}},
	}
}

func TestALongPromptIsReadApart(t *testing.T) {
	inBubble(t, func(c *qt.C, w *world) {
		w.script = []answer{{status: 200, events: 2}}
		out, err := w.serve(longPrompt())
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(out.ids, qt.HasLen, 2)
		c.Assert(w.sent, qt.HasLen, 2)
		c.Assert(w.sent[0].prefill, qt.IsTrue)
		c.Assert(w.sent[0].server, qt.Equals, "prefill-1")
		c.Assert(w.sent[1].cache, qt.Equals, "handle")
	})
}

func TestAFailedPrefillGoesWhole(t *testing.T) {
	inBubble(t, func(c *qt.C, w *world) {
		w.prefills = []answer{{status: 503}}
		w.script = []answer{{status: 200, events: 2}}
		out, err := w.serve(longPrompt())
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(out.ids, qt.HasLen, 2)
		c.Assert(w.sent[1].cache, qt.Equals, "")
	})
}

func TestUntakenCacheIsReleased(t *testing.T) {
	inBubble(t, func(c *qt.C, w *world) {
		w.script = []answer{{notSent: true}, {notSent: true}, {notSent: true}}
		_, err := w.serve(longPrompt())
		c.Assert(err != nil, qt.IsTrue)
		c.Assert(err.Ran, qt.Equals, fault.RanNo)
		synctest.Wait()
		c.Assert(w.released, qt.DeepEquals, []string{"handle"})
	})
}

func TestTheRoutesTimeoutEndsAnAttempt(t *testing.T) {
	inBubble(t, func(c *qt.C, w *world) {
		w.script = []answer{{hang: time.Hour}}
		began := time.Now()
		_, err := w.call("/unsafe/x")
		c.Assert(fault.Is(err, fault.DeadlineExceeded), qt.IsTrue)
		c.Assert(err.Ran, qt.Equals, fault.RanUnknown)
		c.Assert(time.Since(began), qt.Equals, 5*time.Second)
	})
}

func TestTheCallersWaitBoundsAnAttempt(t *testing.T) {
	inBubble(t, func(c *qt.C, w *world) {
		w.script = []answer{{hang: time.Hour}}
		began := time.Now()
		_, _ = w.serve(&relay.Request{ID: "r", Host: "h", Path: "/unsafe/x", Arrived: began, Wait: time.Second})
		c.Assert(time.Since(began), qt.Equals, time.Second)
		c.Assert(w.sent[0].left, qt.Equals, time.Second)
	})
}

func TestWithoutRoutesNothingIsNotFound(t *testing.T) {
	inBubble(t, func(c *qt.C, w *world) {
		_, err := w.call("/none/x")
		c.Assert(fault.Is(err, fault.NotFound), qt.IsTrue)
		w.views.Publish(&view.View{Term: 1, LeaseOptional: true})
		_, err = w.call("/none/x")
		c.Assert(fault.Is(err, fault.NotReady), qt.IsTrue)
		c.Assert(err.Ran, qt.Equals, fault.RanNo)
	})
}
