package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
)

const (
	deadly quarantine.Segment = 1
	shared quarantine.Segment = 2
	third  quarantine.Segment = 3
)

var start = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)

// nothingHeld has no segment in quarantine or on probation.
var nothingHeld = quarantine.NewState()

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// lose reports that the n-th engine ended during a request with the segments.
func lose(t *quarantine.Tracker, n int, seconds float64, segments ...quarantine.Segment) {
	for _, s := range segments {
		t.ObserveLoss(quarantine.Loss{Segment: s, Server: fmt.Sprint("engine-", n), Incarnation: 1, At: at(seconds)}, "entry-1")
	}
}

// complete reports that a response with the segment has completed.
func complete(t *quarantine.Tracker, seconds float64, segment quarantine.Segment) bool {
	return t.ObserveCompletion(quarantine.Completion{Segment: segment, At: at(seconds)})
}

// suspects returns the listed suspects without their times.
func suspects(t *quarantine.Tracker) []quarantine.Segment {
	var out []quarantine.Segment
	for _, s := range t.Suspects(nothingHeld) {
		out = append(out, s.Segment)
	}
	return out
}

// TestSecondEngineMakesASuspect guards against a rule that measures time instead of engines:
// engines that fail at the same instant count as well as those that fail minutes apart.
func TestSecondEngineMakesASuspect(t *testing.T) {
	for name, second := range map[string]float64{"same instant": 0, "minutes apart": 600} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tracker := quarantine.NewTracker()
			lose(tracker, 1, 0, deadly)
			c.Assert(suspects(tracker), qt.HasLen, 0)
			tracker.Expire(at(second))
			lose(tracker, 2, second, deadly)
			c.Assert(tracker.Suspects(nothingHeld), qt.DeepEquals, []quarantine.Suspect{{Segment: deadly, Since: at(0)}})
			engines, entries := tracker.Losses(deadly)
			c.Assert(engines, qt.DeepEquals, []string{"engine-1", "engine-2"})
			c.Assert(entries, qt.DeepEquals, []string{"entry-1"})
		})
	}
}

// TestOneEngineMakesNoSuspect covers reports that are sent again to a new leader, and
// several entries that report the same engine, some of them late.
func TestOneEngineMakesNoSuspect(t *testing.T) {
	c := qt.New(t)
	tracker := quarantine.NewTracker()
	for i := range 5 {
		lose(tracker, 1, float64(i), shared)
	}
	c.Assert(suspects(tracker), qt.HasLen, 0)
	lose(tracker, 2, 6, shared)
	c.Assert(complete(tracker, 6.5, shared), qt.IsTrue)
	lose(tracker, 1, 7, shared)
	lose(tracker, 2, 8, shared)
	c.Assert(suspects(tracker), qt.HasLen, 0)
	lose(tracker, 3, 9, shared)
	c.Assert(suspects(tracker), qt.HasLen, 0)
	lose(tracker, 4, 10, shared)
	c.Assert(tracker.Suspects(nothingHeld), qt.DeepEquals, []quarantine.Suspect{{Segment: shared, Since: at(9)}})
}

// TestEarlierCompletionClearsNoLaterSuspicion repeats a completion that an entry observed
// before the suspicion began.
func TestEarlierCompletionClearsNoLaterSuspicion(t *testing.T) {
	c := qt.New(t)
	tracker := quarantine.NewTracker()
	lose(tracker, 1, 0, deadly)
	lose(tracker, 2, 0, deadly)
	c.Assert(complete(tracker, 1, deadly), qt.IsTrue)
	lose(tracker, 3, 2, deadly)
	lose(tracker, 4, 3, deadly)
	c.Assert(complete(tracker, 1, deadly), qt.IsFalse)
	c.Assert(suspects(tracker), qt.DeepEquals, []quarantine.Segment{deadly})
	// Between the two losses: only the second is left.
	c.Assert(complete(tracker, 2.5, deadly), qt.IsTrue)
	c.Assert(suspects(tracker), qt.HasLen, 0)
}

// TestNewLeaderKeepsSuspects guards against a change of leader that lifts the gate: VMs
// repeat losses for some seconds only.
func TestNewLeaderKeepsSuspects(t *testing.T) {
	c := qt.New(t)
	tracker := quarantine.NewTracker()
	tracker.Adopt([]quarantine.Suspect{{Segment: deadly, Since: at(0)}, {Segment: shared, Since: at(0)}, {Segment: third, Since: at(0), Probation: true}})
	c.Assert(suspects(tracker), qt.DeepEquals, []quarantine.Segment{deadly, shared})
	c.Assert(complete(tracker, 1, shared), qt.IsTrue)
	lose(tracker, 1, 0.5, deadly, shared)
	c.Assert(tracker.Suspects(nothingHeld), qt.DeepEquals, []quarantine.Suspect{{Segment: deadly, Since: at(0)}})
}

// TestRackFailureQuarantinesNothing loses many engines at once during requests with segments
// in common use, and then an engine on which a probe of one of them runs.
func TestRackFailureQuarantinesNothing(t *testing.T) {
	c := qt.New(t)
	tracker := quarantine.NewTracker()
	for n := range 20 {
		lose(tracker, n, 0.01*float64(n), shared, third)
	}
	c.Assert(suspects(tracker), qt.DeepEquals, []quarantine.Segment{shared, third})
	for s := range 60 {
		c.Assert(judge(tracker, float64(s)), qt.HasLen, 0)
	}
	c.Assert(complete(tracker, 60, shared), qt.IsTrue)
	c.Assert(complete(tracker, 60, third), qt.IsTrue)
	c.Assert(suspects(tracker), qt.HasLen, 0)

	// A second rack takes the engine of a probe with it.
	lose(tracker, 31, 70, shared)
	lose(tracker, 32, 71, shared)
	fail(tracker, 40, 80, shared)
	for n := range 20 {
		lose(tracker, 40+n, 80.2, shared)
	}
	c.Assert(judge(tracker, 81), qt.HasLen, 0)
	c.Assert(judge(tracker, 180), qt.HasLen, 0)
}

// TestRareSegmentsLeaveRoom crashes many engines during requests with rare segments, and then
// two during requests with a new one.
func TestRareSegmentsLeaveRoom(t *testing.T) {
	c := qt.New(t)
	tracker := quarantine.NewTracker()
	lose(tracker, 1, 0, third)
	lose(tracker, 2, 0, third)
	for n := range 10_000 {
		lose(tracker, 100+n, 1, quarantine.Segment(100+n))
	}
	lose(tracker, 3, 2, deadly)
	for n := range 1000 {
		lose(tracker, 20_000+n, 3, quarantine.Segment(20_000+n))
	}
	lose(tracker, 4, 4, deadly)
	c.Assert(suspects(tracker), qt.DeepEquals, []quarantine.Segment{deadly, third})
}

// TestListedSuspectsAreBounded lists the suspects with the newest losses.
func TestListedSuspectsAreBounded(t *testing.T) {
	c := qt.New(t)
	tracker := quarantine.NewTracker()
	for n := range quarantine.MaxSuspects + 10 {
		lose(tracker, 1, float64(n), quarantine.Segment(n))
		lose(tracker, 2, float64(n), quarantine.Segment(n))
	}
	listed := suspects(tracker)
	c.Assert(listed, qt.HasLen, quarantine.MaxSuspects)
	c.Assert(listed[0], qt.Equals, quarantine.Segment(10))
}

// TestManyEnginesLeaveRoomForNewOnes guards against a bound on the engines of one segment
// that keeps it from being suspected again.
func TestManyEnginesLeaveRoomForNewOnes(t *testing.T) {
	c := qt.New(t)
	tracker := quarantine.NewTracker()
	for n := range 200 {
		lose(tracker, n, float64(n), shared)
	}
	complete(tracker, 300, shared)
	lose(tracker, 301, 301, shared)
	lose(tracker, 302, 302, shared)
	c.Assert(suspects(tracker), qt.DeepEquals, []quarantine.Segment{shared})
}

func TestOldLossesAreForgotten(t *testing.T) {
	c := qt.New(t)
	tracker := quarantine.NewTracker()
	lose(tracker, 1, 0, deadly)
	lose(tracker, 2, 1, deadly)
	tracker.Expire(at(29 * 60))
	c.Assert(suspects(tracker), qt.HasLen, 1)
	tracker.Expire(at(31 * 60))
	c.Assert(suspects(tracker), qt.HasLen, 0)
}

func TestListFindsSegments(t *testing.T) {
	c := qt.New(t)
	list := quarantine.List{
		Quarantined: []quarantine.Entry{{Segment: 3, Until: 10}, {Segment: 5, Until: 20}, {Segment: 9, Until: 30}},
		Suspects:    []quarantine.Suspect{{Segment: 2, Since: start}, {Segment: 8, Since: start}},
	}
	e, found := list.Find([]quarantine.Segment{4, 5})
	c.Assert(found, qt.IsTrue)
	c.Assert(e.Until, qt.Equals, int64(20))
	_, found = list.Find([]quarantine.Segment{2, 4, 10})
	c.Assert(found, qt.IsFalse)
	c.Assert(list.HasSuspect([]quarantine.Segment{1, 8}), qt.IsTrue)
	c.Assert(list.HasSuspect([]quarantine.Segment{3}), qt.IsFalse)
	c.Assert(quarantine.Key("a", "1"), qt.Not(qt.Equals), quarantine.Key("b", "1"))
	onProbation := quarantine.List{Quarantined: list.Quarantined, Suspects: []quarantine.Suspect{{Segment: 2, Since: start, Probation: true}, {Segment: 8, Since: start}}}
	c.Assert(list.SameAs(onProbation), qt.IsFalse)
}
