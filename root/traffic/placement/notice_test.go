package placement_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/placement"
)

var leaving = placement.Notice{Leaving: true}

// TestViewsReturnNoLeavingServer checks that a server that said that it is leaving gets
// no request before it has restarted, whatever later views show.
func TestViewsReturnNoLeavingServer(t *testing.T) {
	c := qt.New(t)
	one, two := plain("one", "a"), plain("two", "b")
	s := stateOf("vm-0", 1, viewOf(1, one, two))
	run := mustPlace(c, s, start, placement.Request{Service: "plain"})
	c.Assert(run.Server().ID, qt.Equals, "one")
	run.Observe(start, leaving)
	run.End(start, placement.Result{Outcome: placement.Answered})

	now := start
	placed := func() string {
		now = now.Add(time.Second)
		run := mustPlace(c, s, now, placement.Request{Service: "plain"})
		run.End(now, placement.Result{Outcome: placement.Answered})
		return run.Server().ID
	}
	c.Assert(placed(), qt.Equals, "two")
	one.Sequence = 2
	s.SetView(viewOf(1, one, two))
	c.Assert(placed(), qt.Equals, "two")
	s.SetView(viewOf(1, two))
	c.Assert(placed(), qt.Equals, "two")
	one.Sequence = 3
	s.SetView(viewOf(1, one, two))
	c.Assert(placed(), qt.Equals, "two")
	one.Incarnation = 2
	s.SetView(viewOf(1, one, two))
	c.Assert(placed(), qt.Equals, "one")
}

// TestNoticeOfAnEndedIncarnationIsIgnored ends a request to a server that has restarted
// since. Its late response says nothing about the new incarnation.
func TestNoticeOfAnEndedIncarnationIsIgnored(t *testing.T) {
	c := qt.New(t)
	one := plain("one", "a")
	s := stateOf("vm-0", 1, viewOf(1, one))
	run := mustPlace(c, s, start, placement.Request{Service: "plain"})
	one.Incarnation = 2
	s.SetView(viewOf(1, one))
	run.Observe(start, leaving)
	mustPlace(c, s, start, placement.Request{Service: "plain"})
}

func TestRequestsAreRefusedWhenAllServersAreLeaving(t *testing.T) {
	c := qt.New(t)
	s := stateOf("vm-0", 1, viewOf(1, plain("one", "a")))
	mustPlace(c, s, start, placement.Request{Service: "plain"}).Observe(start, leaving)
	_, _, err := s.Place(start, placement.Request{Service: "plain"})
	c.Assert(err != nil, qt.IsTrue)
	c.Assert(err.Kind, qt.Equals, fault.NoBackend)
	c.Assert(err.RetryAfter > 0, qt.IsTrue)
}

// TestPromptsDoNotWaitForALeavingEngine queues a prompt for an engine that then says
// that it is leaving. The prompt must leave the queue without having been sent.
func TestPromptsDoNotWaitForALeavingEngine(t *testing.T) {
	c := qt.New(t)
	s := stateOf("vm-0", 1, viewOf(8, prefillEngines(1)...))
	first := mustPlace(c, s, start, prompt(1))
	_, queued, _ := s.Place(start, prompt(2))
	c.Assert(queued, qt.IsNotNil)
	first.Observe(start, leaving)
	first.End(start, placement.Result{Outcome: placement.Answered, TimeToFirstOutput: time.Second})
	c.Assert(placement.Placed(queued), qt.IsFalse)
	c.Assert(s.OwnLoads(), qt.HasLen, 0)
	c.Assert(s.PlanPrefill(start, prompt(2)).Disaggregated, qt.IsFalse)
}

// TestNoPrefillCopiesFromALeavingDecodeHome checks that a leaving engine is neither the
// decode home of a prompt nor the engine to copy from.
func TestNoPrefillCopiesFromALeavingDecodeHome(t *testing.T) {
	c := qt.New(t)
	s := stateOf("vm-0", 1, viewOf(1, append(prefillEngines(1), engine("decode-0", fleet.Decode), engine("decode-1", fleet.Decode))...))
	run := mustPlace(c, s, start, decoding(7))
	home := run.Server()
	run.Observe(start, leaving)
	copyFrom := mustPlace(c, s, start, prompt(7)).Decision().CopyFrom
	c.Assert(copyFrom, qt.Not(qt.Equals), home.Address)
	c.Assert(copyFrom, qt.Equals, mustPlace(c, s, start, decoding(7)).Server().Address)
}

func pause(d time.Duration) placement.Notice { return placement.Notice{RetryAfter: d} }

// refuse places a request on a server, which refuses it and asks for a pause.
func refuse(c *qt.C, s *placement.State, now time.Time, req placement.Request, d time.Duration) string {
	run := mustPlace(c, s, now, req)
	run.Observe(now, pause(d))
	run.End(now, placement.Result{Outcome: placement.Refused})
	return run.Server().ID
}

// TestAPauseOfAllServersIsNotLifted lets both servers ask for a pause. Unlike back-off,
// it holds although no other server is left, and callers hear how long it lasts.
func TestAPauseOfAllServersIsNotLifted(t *testing.T) {
	c := qt.New(t)
	s := stateOf("vm-0", 1, viewOf(1, plain("one", "a"), plain("two", "a")))
	req := placement.Request{Service: "plain"}
	long := refuse(c, s, start, req, 3*time.Second)
	short := refuse(c, s, start, req, 2*time.Second)
	c.Assert(short, qt.Not(qt.Equals), long)

	req.Exclude = []string{short}
	for _, elapsed := range []time.Duration{0, time.Second, 1999 * time.Millisecond} {
		_, _, err := s.Place(start.Add(elapsed), req)
		c.Assert(err != nil, qt.IsTrue)
		c.Assert(err.Kind, qt.Equals, fault.Overloaded)
		c.Assert(err.Ran, qt.Equals, fault.RanNo)
		c.Assert(err.RetryAfter, qt.Equals, 2*time.Second-elapsed)
	}
	req.Exclude = nil
	for range 3 {
		c.Assert(mustPlace(c, s, start.Add(2*time.Second), req).Server().ID, qt.Equals, short)
	}
	c.Assert(mustPlace(c, s, start.Add(3*time.Second), req).Server().ID, qt.Equals, long)
}

// TestLaterAnswersDoNotShortenAPause ends two requests that were in progress when their
// server asked for a pause: a success, and a refusal that asks for a shorter one.
func TestLaterAnswersDoNotShortenAPause(t *testing.T) {
	c := qt.New(t)
	one := plain("one", "a")
	s := stateOf("vm-0", 1, viewOf(1, one))
	req := placement.Request{Service: "plain"}
	success, refusal := mustPlace(c, s, start, req), mustPlace(c, s, start, req)
	refuse(c, s, start, req, 3*time.Second)
	success.End(start.Add(time.Second), placement.Result{Outcome: placement.Answered, TimeToFirstOutput: time.Second})
	refusal.Observe(start.Add(time.Second), pause(time.Second))
	refusal.End(start.Add(time.Second), placement.Result{Outcome: placement.Refused})
	s.SetView(viewOf(1))
	s.SetView(viewOf(1, one))
	_, _, err := s.Place(start.Add(2900*time.Millisecond), req)
	c.Assert(err != nil, qt.IsTrue)
	c.Assert(err.RetryAfter, qt.Equals, 100*time.Millisecond)
	one.Incarnation = 2
	s.SetView(viewOf(1, one))
	mustPlace(c, s, start.Add(2900*time.Millisecond), req)
}

// TestPromptsAvoidEnginesThatAskedForAPause checks that a queued prompt leaves the queue
// of a prefill engine that asks for a pause, that prompts are prefilled where they are
// decoded meanwhile, and that they are refused once no engine wants to decode.
func TestPromptsAvoidEnginesThatAskedForAPause(t *testing.T) {
	c := qt.New(t)
	s := stateOf("vm-0", 1, viewOf(8, engines(1, 1)...))
	first := mustPlace(c, s, start, prompt(1))
	_, queued, _ := s.Place(start, prompt(2))
	c.Assert(queued, qt.IsNotNil)
	c.Assert(s.PlanPrefill(start, prompt(2)).Disaggregated, qt.IsTrue)
	first.Observe(start, pause(time.Second))
	first.End(start, placement.Result{Outcome: placement.Lost})
	c.Assert(placement.Placed(queued), qt.IsFalse)
	c.Assert(s.OwnLoads(), qt.HasLen, 0)
	c.Assert(s.PlanPrefill(start, prompt(2)).Disaggregated, qt.IsFalse)

	later := start.Add(time.Second)
	c.Assert(s.PlanPrefill(later, prompt(2)).Disaggregated, qt.IsTrue)
	refuse(c, s, later, decoding(2), time.Second)
	c.Assert(s.PlanPrefill(later, prompt(2)).Disaggregated, qt.IsFalse)
	whole := prompt(2)
	whole.Stage = placement.Whole
	_, _, err := s.Place(later, whole)
	c.Assert(err != nil, qt.IsTrue)
	c.Assert(err.Kind, qt.Equals, fault.Overloaded)
}

// TestNoticeThatSaysNothingNewIsNotReported repeats notices, which would fill the log.
func TestNoticeThatSaysNothingNewIsNotReported(t *testing.T) {
	c := qt.New(t)
	s := stateOf("vm-0", 1, viewOf(1, plain("one", "a")))
	run := mustPlace(c, s, start, placement.Request{Service: "plain"})
	later := start.Add(time.Second)
	c.Check(run.Observe(start, placement.Notice{}), qt.IsFalse)
	c.Check(run.Observe(start, pause(3*time.Second)), qt.IsTrue)
	c.Check(run.Observe(later, pause(time.Second)), qt.IsFalse)
	c.Check(run.Observe(later, pause(3*time.Second)), qt.IsTrue)
	c.Check(run.Observe(later, leaving), qt.IsTrue)
	c.Check(run.Observe(later, leaving), qt.IsFalse)
}

// TestNoticesOfGoneServersDoNotAccumulate replaces a leaving server by a new one every
// minute for a day.
func TestNoticesOfGoneServersDoNotAccumulate(t *testing.T) {
	c := qt.New(t)
	s := stateOf("vm-0", 1, nil)
	for n := range 24 * 60 {
		now := start.Add(time.Duration(n) * time.Minute)
		s.SetView(viewOf(1, plain(fmt.Sprint("server-", n), "a")))
		run := mustPlace(c, s, now, placement.Request{Service: "plain"})
		run.Observe(now, leaving)
		run.End(now, placement.Result{Outcome: placement.Answered})
	}
	c.Assert(placement.NoticeCount(s) <= 12, qt.IsTrue, qt.Commentf("%d kept", placement.NoticeCount(s)))
}
