package quarantine_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
)

// TestSegmentCommonToFailedProbesIsConfirmed guards against a crashing segment that costs an
// engine with each other suspect that its requests hold, none of which is requested alone.
func TestSegmentCommonToFailedProbesIsConfirmed(t *testing.T) {
	c := qt.New(t)
	others := []quarantine.Segment{11, 12, 13, 14, 15, 16, 17, 18}
	tracker := suspected(append(others, deadly)...)
	engines := 0
	var found []quarantine.Segment
	for i, other := range others {
		set := []quarantine.Segment{deadly, other}
		now := 5 + float64(i)
		if !tracker.MayProbe(set, at(now), nothingHeld) {
			continue
		}
		engines++
		fail(tracker, 100+i, now, set...)
		found = append(found, judge(tracker, now+0.5)...)
	}
	c.Assert(found, qt.DeepEquals, []quarantine.Segment{deadly}, qt.Commentf("%d engines lost", engines))
	c.Assert(engines, qt.Equals, 3)
}

// TestTwoCommonSegmentsAreNotToldApart guards against a healthy segment that is quarantined
// with the one beside which it is always requested, before the same set has failed twice.
func TestTwoCommonSegmentsAreNotToldApart(t *testing.T) {
	c := qt.New(t)
	tracker := suspected(deadly, shared, 11, 12, 13)
	for i, other := range []quarantine.Segment{11, 12, 13} {
		fail(tracker, 100+i, 5+float64(i), deadly, shared, other)
		c.Assert(judge(tracker, 5.5+float64(i)), qt.HasLen, 0)
	}
	complete(tracker, 9, shared)
	c.Assert(judge(tracker, 9), qt.DeepEquals, []quarantine.Segment{deadly})
}
