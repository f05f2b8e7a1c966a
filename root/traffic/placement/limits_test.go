package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/placement"
)

// placeUntil places requests every 10 ms from one time until another and ends each at once,
// with the given notice. It returns how many found a server.
func placeUntil(s *placement.State, from, to time.Time, n placement.Notice) int {
	placed := 0
	for now := from; now.Before(to); now = now.Add(10 * time.Millisecond) {
		run, _, err := s.Place(now, placement.Request{Service: "plain"})
		if err != nil {
			continue
		}
		placed++
		run.Observe(now.Add(time.Millisecond), n)
		run.End(now.Add(time.Millisecond), placement.Result{Outcome: placement.Answered})
	}
	return placed
}

var namesLimit = placement.Notice{LimitPerSecond: 5}

// TestNamedLimitBoundsRequests checks the requests that an entry alone sends to a server
// that names a limit, and those with a half of it.
func TestNamedLimitBoundsRequests(t *testing.T) {
	c := qt.New(t)
	s := stateOf("vm-0", 1, viewOf(1, plain("one", "a")))
	now := start
	next := func(d time.Duration) int {
		defer func() { now = now.Add(d) }()
		return placeUntil(s, now, now.Add(d), namesLimit)
	}
	next(time.Second)
	got := next(10 * time.Second)
	c.Check(got >= 47 && got <= 53, qt.IsTrue, qt.Commentf("%d", got))
	s.SetServerShares(now, []fleet.ServerShare{{Server: "one", Incarnation: 1, LimitPerSecond: 5, Age: time.Second, Fraction: 0.5}})
	got = next(10 * time.Second)
	c.Check(got >= 23 && got <= 27, qt.IsTrue, qt.Commentf("%d", got))
	s.SetServerShares(now, []fleet.ServerShare{{Server: "one", Incarnation: 1, LimitPerSecond: 5, Age: time.Second, Fraction: 0}})
	got = next(10 * time.Second)
	c.Check(got <= 1, qt.IsTrue, qt.Commentf("%d", got))
}

// TestRefusalByALimitSaysWhenToComeBack checks the error for a request that no server's
// limit allows now.
func TestRefusalByALimitSaysWhenToComeBack(t *testing.T) {
	c := qt.New(t)
	s := stateOf("vm-0", 1, viewOf(1, plain("one", "a")))
	placeUntil(s, start, start.Add(10*time.Millisecond), namesLimit)
	_, _, err := s.Place(start.Add(20*time.Millisecond), placement.Request{Service: "plain"})
	c.Assert(err, qt.IsNotNil)
	c.Check(err.RetryAfter > 150*time.Millisecond && err.RetryAfter <= 200*time.Millisecond, qt.IsTrue, qt.Commentf("%s", err.RetryAfter))
	run := mustPlace(c, s, start.Add(20*time.Millisecond+err.RetryAfter), placement.Request{Service: "plain"})
	c.Check(run.Server().ID, qt.Equals, "one")
}

// TestLateResponseLiftsNoLimit checks that only the response to a request that was placed
// after a limit was learned shows that the server names none any more.
func TestLateResponseLiftsNoLimit(t *testing.T) {
	c := qt.New(t)
	s := stateOf("vm-0", 1, viewOf(1, plain("one", "a")))
	namesNone := placement.Notice{NamesNoLimit: true}
	earlier := mustPlace(c, s, start, placement.Request{Service: "plain"})
	placeUntil(s, start, start.Add(10*time.Millisecond), namesLimit)
	earlier.Observe(start.Add(20*time.Millisecond), namesNone)
	c.Assert(placeUntil(s, start.Add(30*time.Millisecond), start.Add(60*time.Millisecond), namesLimit), qt.Equals, 0)
	later := start.Add(300 * time.Millisecond)
	c.Assert(placeUntil(s, later, later.Add(10*time.Millisecond), namesNone), qt.Equals, 1)
	c.Assert(placeUntil(s, later.Add(10*time.Millisecond), later.Add(110*time.Millisecond), namesNone), qt.Equals, 10)
	demands := s.ServerDemands(later.Add(time.Second))
	c.Assert(demands, qt.HasLen, 1)
	c.Check(demands[0].LimitPerSecond, qt.Equals, 0.0)
	c.Check(s.ServerDemands(later.Add(time.Minute)), qt.HasLen, 0)
}
