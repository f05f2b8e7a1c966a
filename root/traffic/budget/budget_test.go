package budget_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/budget"
)

var start = time.Unix(1_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func options() budget.Options {
	return budget.Options{Small: 100, Large: 1_000, SmallClaim: 50, MinStall: 500 * time.Millisecond}
}

// Large claims must not use up what small ones need.
func TestSmallClaimsHaveAReserve(t *testing.T) {
	c := qt.New(t)
	b := budget.New(options())
	large := b.Open(at(0), func() {})
	c.Check(large.Resize(1_000, at(0)), qt.IsTrue)
	c.Check(b.Open(at(0), func() {}).Resize(50, at(0)), qt.IsTrue)
	c.Check(b.Open(at(0), func() {}).Resize(51, at(0)), qt.IsFalse)
}

// The claim that has made no progress for longest must go first, and only once it has
// stalled: a body that arrives slowly but steadily is legal.
func TestTheLongestStalledClaimIsEvicted(t *testing.T) {
	c := qt.New(t)
	b := budget.New(options())
	evicted := ""
	open := func(name string, ms int) *budget.Claim {
		claim := b.Open(at(ms), func() { evicted += name })
		c.Assert(claim.Resize(400, at(ms)), qt.IsTrue)
		return claim
	}
	a, second := open("a", 0), open("b", 1)
	a.Progress(at(300))
	newest := b.Open(at(400), func() {})
	c.Check(newest.Resize(400, at(400)), qt.IsFalse)
	c.Check(evicted, qt.Equals, "")
	c.Check(newest.Resize(400, at(501)), qt.IsTrue)
	c.Check(evicted, qt.Equals, "b")
	c.Check(second.Settle(), qt.IsFalse)
	c.Check(second.Resize(1, at(502)), qt.IsFalse)
	c.Check(a.Settle(), qt.IsTrue)
	c.Check(b.Open(at(5_000), func() {}).Resize(700, at(5_000)), qt.IsFalse, qt.Commentf("a settled claim stays"))
	c.Check(evicted, qt.Equals, "b")
	a.Release()
	c.Check(b.Stats(), qt.Equals, budget.Stats{Evicted: 1, Refused: 2, Used: 400})
}

// Whatever the order of the calls, neither part may be exceeded, and what is released must
// be available again.
func TestTheBoundsHoldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := budget.New(options())
		var claims []*budget.Claim
		now := 0
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			now += rapid.IntRange(0, 400).Draw(t, "wait")
			if len(claims) == 0 || rapid.IntRange(0, 3).Draw(t, "open") == 0 {
				claims = append(claims, b.Open(at(now), func() {}))
			}
			claim := rapid.SampledFrom(claims).Draw(t, "claim")
			switch rapid.IntRange(0, 5).Draw(t, "call") {
			case 0:
				claim.Release()
			case 1:
				claim.Settle()
			case 2:
				claim.Expose(at(now))
			case 3:
				claim.Progress(at(now))
			default:
				claim.Resize(rapid.Int64Range(0, 600).Draw(t, "size"), at(now))
			}
			if used := b.Stats().Used; used < 0 || used > 1_100 {
				t.Fatalf("%d of 1,100 used", used)
			}
		}
		for _, claim := range claims {
			claim.Release()
		}
		if used := b.Stats().Used; used != 0 {
			t.Fatalf("%d left", used)
		}
	})
}
