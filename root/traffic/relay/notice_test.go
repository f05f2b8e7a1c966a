package relay_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
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
