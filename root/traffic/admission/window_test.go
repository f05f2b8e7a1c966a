package admission_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/admission"
)

// TestWindowBudgetHoldsInEveryWindow sends random requests and retries, and checks
// the window that ends with each of them.
func TestWindowBudgetHoldsInEveryWindow(t *testing.T) {
	const ratio, extra, window = 0.2, 3, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		b := admission.NewWindowBudget(ratio, window)
		now := time.Unix(1_000_000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.CountRequest(now)
				requests = append(requests, now)
				continue
			}
			if b.Take(now, extra) {
				retries = append(retries, now)
			}
			// The budget also counts requests up to a slot, a tenth of the window, older
			// than the window. The bound is wider: it allows for half a window.
			allowed := ratio*float64(countWithin(requests, now, window+window/2)) + extra
			if got := countWithin(retries, now, window); float64(got) > allowed {
				t.Fatalf("%d retries in the window, want at most %.1f", got, allowed)
			}
		}
	})
}

func countWithin(times []time.Time, now time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if now.Sub(at) < window {
			n++
		}
	}
	return n
}

func TestWindowBudgetRecovers(t *testing.T) {
	c := qt.New(t)
	b := admission.NewWindowBudget(0, 10*time.Second)
	now := time.Unix(1_000_000, 0)
	c.Assert(b.Take(now, 1), qt.IsTrue)
	c.Assert(b.Take(now.Add(9*time.Second), 1), qt.IsFalse)
	c.Assert(b.Take(now.Add(12*time.Second), 1), qt.IsTrue)
}
