package quarantine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
)

// TestProbesThatFailTogetherAreJudged guards against crashing segments that explain each
// other's failed probes as the failure of a rack, again with each round of probes.
func TestProbesThatFailTogetherAreJudged(t *testing.T) {
	c := qt.New(t)
	crashing := []quarantine.Segment{11, 12, 13, 14}
	tracker := suspected(crashing...)
	found := map[quarantine.Segment]bool{}
	engines := 0
	for round := range 10 {
		now := 5 + 10*float64(round)
		for i, s := range crashing {
			if found[s] || !tracker.MayProbe([]quarantine.Segment{s}, at(now), nothingHeld) {
				continue
			}
			engines++
			p := quarantine.FailedProbe{Segments: []quarantine.Segment{s}, Server: "engine", Incarnation: uint64(100*round + i), At: at(now)}
			tracker.ObserveFailedProbe(p, at(now).Add(-100*time.Millisecond), at(now), nothingHeld)
		}
		for _, s := range judge(tracker, now+1) {
			found[s] = true
		}
	}
	c.Assert(found, qt.HasLen, len(crashing), qt.Commentf("%d engines lost", engines))
	c.Assert(engines, qt.Equals, 2*len(crashing))
}

// TestSegmentClearedBetweenTwoMassFailures guards against healthy segments that are blamed
// because two racks fail under their probes.
func TestSegmentClearedBetweenTwoMassFailures(t *testing.T) {
	c := qt.New(t)
	tracker := suspected(shared)
	rack := func(first int, seconds float64) {
		fail(tracker, first, seconds, shared)
		for n := range 8 {
			lose(tracker, first+1+n, seconds+0.1, third)
		}
	}
	rack(10, 5)
	c.Assert(judge(tracker, 6), qt.HasLen, 0)
	complete(tracker, 7, shared)
	lose(tracker, 20, 8, shared)
	lose(tracker, 21, 8, shared)
	rack(30, 15)
	c.Assert(judge(tracker, 16), qt.HasLen, 0)
	rack(40, 25)
	c.Assert(judge(tracker, 26), qt.DeepEquals, []quarantine.Segment{shared})
}
