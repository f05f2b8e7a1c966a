package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
)

// fail reports that the n-th engine ended during a probe.
func fail(t *quarantine.Tracker, n int, seconds float64, segments ...quarantine.Segment) {
	failHeld(t, nothingHeld, n, seconds, segments...)
}

func failHeld(t *quarantine.Tracker, held *quarantine.State, n int, seconds float64, segments ...quarantine.Segment) {
	p := quarantine.FailedProbe{Segments: segments, Server: fmt.Sprint("engine-", n), Incarnation: 1, At: at(seconds)}
	t.ObserveFailedProbe(p, time.Time{}, at(seconds), held)
}

func judge(t *quarantine.Tracker, seconds float64) []quarantine.Segment {
	return t.Judge(at(seconds), nothingHeld)
}

// suspected returns a tracker with these suspects, each lost with two engines.
func suspected(segments ...quarantine.Segment) *quarantine.Tracker {
	t := quarantine.NewTracker()
	lose(t, 1, 0, segments...)
	lose(t, 2, 0.1, segments...)
	return t
}

func TestFailedProbeOfOneSuspectConfirmsIt(t *testing.T) {
	c := qt.New(t)
	tracker := suspected(deadly, shared)
	fail(tracker, 3, 5, deadly)
	c.Assert(tracker.MayProbe([]quarantine.Segment{deadly}, at(5), nothingHeld), qt.IsFalse)
	c.Assert(tracker.MayProbe([]quarantine.Segment{shared}, at(5), nothingHeld), qt.IsTrue)
	due := tracker.NextJudgement()
	c.Assert(due.Sub(at(5)) <= 500*time.Millisecond, qt.IsTrue)
	c.Assert(tracker.Judge(due, nothingHeld), qt.DeepEquals, []quarantine.Segment{deadly})
	c.Assert(tracker.NextJudgement().IsZero(), qt.IsTrue)
	c.Assert(tracker.MayProbe([]quarantine.Segment{deadly, shared}, at(60), nothingHeld), qt.IsFalse)
	// Repeated by the entry: nothing new.
	fail(tracker, 3, 5, deadly)
	c.Assert(judge(tracker, 6), qt.HasLen, 0)

	// The proposal is repeated until the quarantine is in the log.
	c.Assert(tracker.Proposals(at(6), nothingHeld), qt.DeepEquals, []quarantine.Segment{deadly})
	c.Assert(tracker.Proposals(at(7), nothingHeld), qt.HasLen, 0)
	c.Assert(tracker.Proposals(at(9), nothingHeld), qt.DeepEquals, []quarantine.Segment{deadly})
	held := quarantine.NewState()
	c.Assert(held.Add([]quarantine.Segment{deadly}, 0) == nil, qt.IsTrue)
	c.Assert(tracker.Proposals(at(19), held), qt.HasLen, 0)
}

// TestSeveralSuspectsAreToldApart fails a probe with a healthy and a crashing segment. The
// healthy one must not be put into quarantine.
func TestSeveralSuspectsAreToldApart(t *testing.T) {
	c := qt.New(t)
	both := []quarantine.Segment{deadly, shared}
	tracker := suspected(both...)
	fail(tracker, 3, 5, both...)
	c.Assert(judge(tracker, 5.5), qt.HasLen, 0)
	c.Assert(tracker.MayProbe(both, at(5.5), nothingHeld), qt.IsFalse)
	c.Assert(tracker.MayProbe([]quarantine.Segment{shared}, at(5.5), nothingHeld), qt.IsTrue)
	c.Assert(tracker.MayProbe(both, at(9), nothingHeld), qt.IsFalse)
	c.Assert(tracker.MayProbe(both, at(10.1), nothingHeld), qt.IsTrue)
	complete(tracker, 6, shared)
	c.Assert(judge(tracker, 6), qt.DeepEquals, []quarantine.Segment{deadly})
}

// TestSegmentClearedBeforeTheReportArrives clears a segment between the failure and its
// report, which was late.
func TestSegmentClearedBeforeTheReportArrives(t *testing.T) {
	c := qt.New(t)
	tracker := suspected(deadly, shared)
	complete(tracker, 6, shared)
	lose(tracker, 11, 7, shared)
	lose(tracker, 12, 7, shared)
	fail(tracker, 3, 5, deadly, shared)
	c.Assert(judge(tracker, 8), qt.DeepEquals, []quarantine.Segment{deadly})

	// A completion before the failure leaves the suspicion that began after it.
	tracker = suspected(deadly, shared)
	complete(tracker, 1, shared)
	lose(tracker, 11, 2, shared)
	lose(tracker, 12, 2, shared)
	fail(tracker, 3, 5, deadly, shared)
	c.Assert(judge(tracker, 8), qt.HasLen, 0)
}

func TestSameSetTwiceConfirmsAllOfIt(t *testing.T) {
	c := qt.New(t)
	tracker := suspected(deadly, shared, third)
	fail(tracker, 3, 5, deadly, shared, third)
	fail(tracker, 3, 5, deadly, shared, third)
	c.Assert(judge(tracker, 6), qt.HasLen, 0)
	fail(tracker, 4, 7, deadly, shared)
	c.Assert(judge(tracker, 8), qt.HasLen, 0)
	complete(tracker, 9, third)
	c.Assert(judge(tracker, 9), qt.DeepEquals, []quarantine.Segment{deadly, shared})
}

// TestRequestOnItsWayIsNotBlamedOnTheProbe crashes the engine of a healthy segment's probe by
// a request that was sent before its segment became a suspect.
func TestRequestOnItsWayIsNotBlamedOnTheProbe(t *testing.T) {
	c := qt.New(t)
	tracker := suspected(deadly, shared)
	fail(tracker, 3, 5, shared)
	c.Assert(judge(tracker, 5.1), qt.HasLen, 0)
	lose(tracker, 3, 5, deadly)
	c.Assert(judge(tracker, 6), qt.HasLen, 0)
	complete(tracker, 7, shared)
	c.Assert(judge(tracker, 7), qt.DeepEquals, []quarantine.Segment{deadly})
}

// TestTwoProbesOnOneEngineAreToldApart ends an engine that ran the probes of two entries.
func TestTwoProbesOnOneEngineAreToldApart(t *testing.T) {
	c := qt.New(t)
	tracker := suspected(deadly, shared)
	fail(tracker, 3, 5, shared)
	c.Assert(judge(tracker, 5.1), qt.HasLen, 0)
	fail(tracker, 3, 5.1, deadly)
	c.Assert(judge(tracker, 6), qt.HasLen, 0)
	fail(tracker, 4, 7, deadly)
	c.Assert(judge(tracker, 8), qt.DeepEquals, []quarantine.Segment{deadly})
	complete(tracker, 9, shared)
	c.Assert(judge(tracker, 9), qt.HasLen, 0)
	c.Assert(suspects(tracker), qt.DeepEquals, []quarantine.Segment{deadly})
}

// TestProbeOnADeadEngineShowsNothing sends a probe to an engine that was lost just before,
// as the entry did not know yet.
func TestProbeOnADeadEngineShowsNothing(t *testing.T) {
	c := qt.New(t)
	tracker := suspected(shared)
	lose(tracker, 3, 4, third)
	p := quarantine.FailedProbe{Segments: []quarantine.Segment{shared}, Server: "engine-3", Incarnation: 1, At: at(4.6)}
	tracker.ObserveFailedProbe(p, at(4.5), at(4.6), nothingHeld)
	c.Assert(judge(tracker, 6), qt.HasLen, 0)
	// The next one counts, on an engine that other entries report as lost later.
	p = quarantine.FailedProbe{Segments: []quarantine.Segment{shared}, Server: "engine-4", Incarnation: 1, At: at(9)}
	tracker.ObserveFailedProbe(p, at(7), at(9), nothingHeld)
	lose(tracker, 4, 8, 9)
	c.Assert(judge(tracker, 10), qt.DeepEquals, []quarantine.Segment{shared})
}

// TestNewLeaderJudgesRepeatedProbes reports a failed probe to a leader that does not know its
// suspects: it must not blame the one that it knows.
func TestNewLeaderJudgesRepeatedProbes(t *testing.T) {
	c := qt.New(t)
	tracker := suspected(shared)
	fail(tracker, 3, 5, deadly, shared)
	c.Assert(suspects(tracker), qt.DeepEquals, []quarantine.Segment{deadly, shared})
	c.Assert(judge(tracker, 6), qt.HasLen, 0)
	complete(tracker, 6, shared)
	c.Assert(judge(tracker, 6), qt.DeepEquals, []quarantine.Segment{deadly})

	tracker = quarantine.NewTracker()
	fail(tracker, 3, 5, deadly)
	c.Assert(judge(tracker, 6), qt.DeepEquals, []quarantine.Segment{deadly})
}

// TestQuarantinedSegmentExplainsAFailure guards against blaming the segments that are left
// when the one that crashed the engine has been put into quarantine.
func TestQuarantinedSegmentExplainsAFailure(t *testing.T) {
	c := qt.New(t)
	tracker := suspected(deadly, shared)
	fail(tracker, 3, 5, deadly, shared)
	c.Assert(judge(tracker, 6), qt.HasLen, 0)
	fail(tracker, 4, 7, deadly)
	c.Assert(judge(tracker, 8), qt.DeepEquals, []quarantine.Segment{deadly})
	held := quarantine.NewState()
	c.Assert(held.Add([]quarantine.Segment{deadly}, 0) == nil, qt.IsTrue)
	c.Assert(tracker.Judge(at(9), held), qt.HasLen, 0)
	c.Assert(tracker.Suspects(held), qt.DeepEquals, []quarantine.Suspect{{Segment: shared, Since: at(0)}})
	c.Assert(tracker.MayProbe([]quarantine.Segment{shared}, at(9), held), qt.IsTrue)
}

// TestFailedProbeOnProbation quarantines the segment on probation again, and not one that has
// no earlier quarantine.
func TestFailedProbeOnProbation(t *testing.T) {
	c := qt.New(t)
	held := quarantine.NewState()
	c.Assert(held.Add([]quarantine.Segment{deadly}, 0) == nil, qt.IsTrue)
	held.Expire(quarantine.Duration.Milliseconds())
	tracker := suspected(shared)
	c.Assert(tracker.MayProbe([]quarantine.Segment{deadly, shared}, at(4), held), qt.IsTrue)
	failHeld(tracker, held, 3, 5, deadly, shared)
	c.Assert(tracker.Judge(at(6), held), qt.DeepEquals, []quarantine.Segment{deadly})
	c.Assert(tracker.Judge(at(7), held), qt.HasLen, 0)
	c.Assert(tracker.Suspects(held), qt.DeepEquals, []quarantine.Suspect{{Segment: shared, Since: at(0)}})

	// A completion after the failure ends it instead.
	tracker = quarantine.NewTracker()
	failHeld(tracker, held, 3, 5, deadly)
	complete(tracker, 5.1, deadly)
	c.Assert(tracker.Judge(at(6), held), qt.HasLen, 0)
}
