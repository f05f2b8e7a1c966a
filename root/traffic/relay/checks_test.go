package relay_test

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// TestEngineThatClosesItsListenerLastIsLost guards against engines that end but still
// accept a connection just after they have closed that of the request.
func TestEngineThatClosesItsListenerLastIsLost(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		dials := 0
		h.check = func(string) error {
			if dials++; dials == 1 {
				return nil
			}
			return syscall.ECONNREFUSED
		}
		h.script = []scriptedResponse{{noResponse: true}, {status: 200, events: 2}}
		_, err := h.serve(promptRequest("/resumable/"))
		c.Assert(err == nil, qt.IsTrue)
		sleep(checkTime)
		c.Assert(h.lost, qt.HasLen, 2)
	})
}

// TestErrorsOfThisProcessAreNoLosses guards against losses reported for want of
// descriptors at the entry.
func TestErrorsOfThisProcessAreNoLosses(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.check = func(string) error { return syscall.EMFILE }
		h.script = []scriptedResponse{{noResponse: true}, {status: 200, events: 2}}
		_, err := h.serve(promptRequest("/resumable/"))
		c.Assert(err == nil, qt.IsTrue)
		sleep(checkTime)
		c.Assert(h.checks, qt.DeepEquals, []string{"unchecked"})
		c.Assert(h.lost, qt.HasLen, 0)
	})
}

// TestCheckDelaysNeitherRetryNorResponse guards against callers that wait for the dial to
// an unreachable engine.
func TestCheckDelaysNeitherRetryNorResponse(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.check = func(string) error {
			time.Sleep(1500 * time.Millisecond)
			return os.ErrDeadlineExceeded
		}
		began := time.Now()
		h.script = []scriptedResponse{{noResponse: true}, {status: 200, events: 2}}
		_, err := h.serve(promptRequest("/resumable/"))
		c.Assert(err == nil, qt.IsTrue)
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		sleep(checkTime)
		c.Assert(h.lost, qt.HasLen, 2)
	})
}

// TestRequestsLostAtAnEngineShareOneDial guards against a dial for each of the many
// requests that an engine was running.
func TestRequestsLostAtAnEngineShareOneDial(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.check = func(string) error {
			time.Sleep(time.Second)
			return syscall.ECONNREFUSED
		}
		var calls sync.WaitGroup
		h.script = slices.Repeat([]scriptedResponse{{noResponse: true, hang: 10 * time.Millisecond}}, 6)
		for range 6 {
			calls.Go(func() { h.serve(promptRequest("/stream/")) })
		}
		calls.Wait()
		sleep(checkTime)
		dials := map[string]int{}
		for _, id := range h.checked {
			dials[id]++
		}
		for id, n := range dials {
			c.Check(n, qt.Equals, 1, qt.Commentf("%s", id))
		}
		c.Assert(h.checks, qt.HasLen, 6)
		c.Assert(len(h.lost[key("a")]), qt.Equals, 6)
	})
}

// TestLossDuringADialIsNotJudgedByItsSuccess guards against an engine that ends just after
// it has accepted the connection of an earlier request's check.
func TestLossDuringADialIsNotJudgedByItsSuccess(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		dials := 0
		h.check = func(string) error {
			if dials++; dials <= 2 {
				sleep(time.Second)
				return nil
			}
			return syscall.ECONNREFUSED
		}
		h.relay.Placer.SetView(onlyServer(h, "decode-1"))
		h.script = []scriptedResponse{{noResponse: true}, {noResponse: true}}
		h.serve(promptRequest("/stream/"))
		// The second dial begins after 1.1 s.
		sleep(1500 * time.Millisecond)
		h.serve(promptRequest("/stream/"))
		sleep(checkTime)
		c.Assert(h.checks, qt.DeepEquals, []string{"accepting", "gone"})
	})
}

// TestChecksAreBounded loses many engines at unreachable hosts at once.
func TestChecksAreBounded(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		v := *h.views.Load()
		v.Servers = nil
		for n := range 100 {
			v.Servers = append(v.Servers, fleet.Server{ID: fmt.Sprint("d-", n), Kind: fleet.Engine, Role: fleet.Decode, Targets: []string{"llm"}, Slots: 1})
		}
		h.relay.Placer.SetView(&v)
		var mu sync.Mutex
		open, most := 0, 0
		h.check = func(string) error {
			mu.Lock()
			open++
			most = max(most, open)
			mu.Unlock()
			time.Sleep(time.Second)
			mu.Lock()
			open--
			mu.Unlock()
			return os.ErrDeadlineExceeded
		}
		var calls sync.WaitGroup
		h.script = slices.Repeat([]scriptedResponse{{noResponse: true, hang: time.Second}}, 100)
		for range 100 {
			calls.Go(func() { h.serve(promptRequest("/stream/")) })
		}
		calls.Wait()
		sleep(checkTime)
		c.Assert(most > 32 && most <= 64, qt.IsTrue, qt.Commentf("%d", most))
		c.Assert(h.checks, qt.HasLen, 100)
	})
}

// TestPanicInACheckIsContained guards against a process that ends because a check fails
// unexpectedly.
func TestPanicInACheckIsContained(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.check = func(string) error { panic("test") }
		for range 2 {
			h.script = []scriptedResponse{{noResponse: true}}
			h.serve(promptRequest("/stream/"))
			sleep(checkTime)
		}
		c.Assert(h.checks, qt.DeepEquals, []string{"unchecked", "unchecked"})
	})
}

// TestChecksEndWithTheProcess guards against dials that outlive it: the bubble fails if a
// goroutine is left.
func TestChecksEndWithTheProcess(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.checkHangs = true
		h.script = []scriptedResponse{{noResponse: true}}
		h.serve(promptRequest("/stream/"))
		sleep(time.Second)
		c.Assert(h.checked, qt.HasLen, 1)
		h.stop()
		sleep(0)
		c.Assert(h.checks, qt.DeepEquals, []string{"unchecked"})
		c.Assert(h.lost, qt.HasLen, 0)
	})
}
