package quarantine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
)

// quarantined puts a segment into a state that holds nothing else, at 1000 ms.
func quarantined(c *qt.C, segments ...quarantine.Segment) (s *quarantine.State, until int64) {
	s = quarantine.NewState()
	c.Assert(s.Add(segments, 1000) == nil, qt.IsTrue)
	return s, 1000 + quarantine.Duration.Milliseconds()
}

// TestQuarantineEndsInProbation guards against segments that reach engines freely after
// their quarantine.
func TestQuarantineEndsInProbation(t *testing.T) {
	c := qt.New(t)
	s, until := quarantined(c, shared, deadly)
	want := []quarantine.Entry{{Segment: deadly, Until: until}, {Segment: shared, Until: until}}
	restored, err := quarantine.Restore(s.Records(), 1000)
	c.Assert(err, qt.IsNil)
	for _, s := range []*quarantine.State{s, restored} {
		c.Assert(s.Entries(), qt.DeepEquals, want)
		s.Expire(until - 1)
		c.Assert(s.Has(deadly), qt.IsTrue)
		c.Assert(s.Probation(), qt.HasLen, 0)
		c.Assert(s.HasEnded(until-1), qt.IsFalse)
		c.Assert(s.HasEnded(until), qt.IsTrue)
		s.Expire(until)
		c.Assert(s.HasEnded(until), qt.IsFalse)
		c.Assert(s.Has(deadly), qt.IsFalse)
		c.Assert(s.Entries(), qt.HasLen, 0)
		c.Assert(s.Probation(), qt.DeepEquals, want)

		s.Release([]quarantine.Segment{deadly})
		c.Assert(s.Probation(), qt.DeepEquals, want[1:])
		s.Expire(until + quarantine.ProbationLifetime.Milliseconds() - 1)
		c.Assert(s.OnProbation(shared), qt.IsTrue)
		s.Expire(until + quarantine.ProbationLifetime.Milliseconds())
		c.Assert(s.Records(), qt.HasLen, 0)
	}
}

// TestFailedProbesDoubleTheDuration covers the bound of the duration, and segments that are
// released and quarantined anew.
func TestFailedProbesDoubleTheDuration(t *testing.T) {
	c := qt.New(t)
	s, until := quarantined(c, deadly)
	minutes := []time.Duration{6, 12, 24, 48, 60, 60}
	for _, m := range minutes {
		s.Expire(until)
		c.Assert(s.Add([]quarantine.Segment{deadly}, until) == nil, qt.IsTrue)
		until += (m * time.Minute).Milliseconds()
		c.Assert(s.Entries(), qt.DeepEquals, []quarantine.Entry{{Segment: deadly, Until: until}})
	}
	s.Expire(until)
	s.Release([]quarantine.Segment{deadly})
	c.Assert(s.Add([]quarantine.Segment{deadly}, until) == nil, qt.IsTrue)
	c.Assert(s.Entries()[0].Until, qt.Equals, until+quarantine.Duration.Milliseconds())
}

// TestRepeatedProposalChangesNothing adds and releases a segment that is in quarantine: a
// leader repeats proposals, and a release may be overtaken by a failed probe.
func TestRepeatedProposalChangesNothing(t *testing.T) {
	c := qt.New(t)
	s, until := quarantined(c, deadly)
	c.Assert(s.Add([]quarantine.Segment{deadly}, 3000) == nil, qt.IsTrue)
	s.Release([]quarantine.Segment{deadly})
	c.Assert(s.Records(), qt.DeepEquals, []quarantine.Record{{Segment: deadly, Until: until, Duration: quarantine.Duration.Milliseconds()}})
}

// TestSnapshotOfAnOlderRelease restores records without a duration.
func TestSnapshotOfAnOlderRelease(t *testing.T) {
	c := qt.New(t)
	s, err := quarantine.Restore([]quarantine.Record{{Segment: deadly, Until: 5000}}, 1000)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Has(deadly), qt.IsTrue)
	s.Expire(5000)
	c.Assert(s.Add([]quarantine.Segment{deadly}, 5000) == nil, qt.IsTrue)
	c.Assert(s.Entries()[0].Until, qt.Equals, 5000+2*quarantine.Duration.Milliseconds())
}

func TestQuarantineIsBounded(t *testing.T) {
	c := qt.New(t)
	s := quarantine.NewState()
	for i := range quarantine.MaxEntries {
		c.Assert(s.Add([]quarantine.Segment{quarantine.Segment(i)}, int64(i)) == nil, qt.IsTrue)
	}
	const more = quarantine.MaxEntries
	err := s.Add([]quarantine.Segment{more}, more)
	c.Assert(fault.Is(err, fault.Overloaded), qt.IsTrue)
	c.Assert(s.Add([]quarantine.Segment{0}, more) == nil, qt.IsTrue)
	_, restoreErr := quarantine.Restore(make([]quarantine.Record, more+1), 0)
	c.Assert(fault.Is(restoreErr, fault.Corrupt), qt.IsTrue)

	// The oldest on probation make room, and only those.
	now := quarantine.Duration.Milliseconds() + 1
	s.Expire(now)
	c.Assert(s.Probation(), qt.HasLen, 2)
	c.Assert(s.Add([]quarantine.Segment{more}, now) == nil, qt.IsTrue)
	c.Assert(s.Probation(), qt.HasLen, 1)
	c.Assert(s.OnProbation(1), qt.IsTrue)
	c.Assert(s.Records(), qt.HasLen, quarantine.MaxEntries)
	err = s.Add([]quarantine.Segment{more + 1, more + 2}, now)
	c.Assert(fault.Is(err, fault.Overloaded), qt.IsTrue)
	c.Assert(s.OnProbation(1), qt.IsTrue)
}
