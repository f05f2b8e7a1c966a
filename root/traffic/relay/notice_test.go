package relay_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// TestLeavingPrefillEngineGetsNoMorePrompts lets the only prefill engine say that it is
// leaving, with the KV cache of a prompt or with a refusal.
func TestLeavingPrefillEngineGetsNoMorePrompts(t *testing.T) {
	for _, status := range []int{200, 503} {
		withHarness(t, func(c *qt.C, h *harness) {
			h.prefillScript = []scriptedResponse{{status: status, leaving: true}}
			for range 2 {
				h.script = []scriptedResponse{{status: 200, events: 2}}
				_, err := h.serve(longPrompt())
				c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
			}
			prefills := 0
			for _, sent := range h.sent {
				if sent.prefill {
					prefills++
				}
			}
			c.Assert(prefills, qt.Equals, 1)
		})
	}
}

// TestQueuedPromptsRunWholeWhenNoPrefillEngineTakesThem lets the only prefill engine
// refuse with a pause, or say that it is leaving, while two prompts wait for it at an
// entry that may send it one at a time. The decode engines run them.
func TestQueuedPromptsRunWholeWhenNoPrefillEngineTakesThem(t *testing.T) {
	for name, refusal := range map[string]scriptedResponse{
		"pause":   {status: 503, retryAfter: time.Minute, hang: 100 * time.Millisecond},
		"leaving": {status: 503, leaving: true, hang: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(c *qt.C, h *harness) {
				v := *h.views.Load()
				for n := range 8 {
					v.VMs = append(v.VMs, fleet.VM{ID: fmt.Sprint("vm-", n), Address: "http://vm"})
				}
				h.relay.Placer.SetView(&v)
				h.prefillScript = []scriptedResponse{refusal}
				var calls sync.WaitGroup
				for range 3 {
					h.script = append(h.script, scriptedResponse{status: 200, events: 2})
					calls.Go(func() {
						_, err := h.serve(longPrompt())
						c.Check(err == nil, qt.IsTrue, qt.Commentf("%v", err))
					})
				}
				calls.Wait()
			})
		})
	}
}
