package replicated_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// restoreEncoded returns the state of its encoded snapshot.
func restoreEncoded(c *qt.C, s *replicated.State) *replicated.State {
	data, err := codec.EncodeSnapshot(s.Snapshot())
	c.Assert(err, qt.IsNil)
	snapshot, err := codec.DecodeSnapshot(data)
	c.Assert(err, qt.IsNil)
	restored, err := replicated.Restore(snapshot)
	c.Assert(err, qt.IsNil)
	return restored
}

// TestQuarantineSurvivesACompactedLog restores a quarantine and a probation from encoded
// snapshots. They end with the time of the log alone, and the next quarantine is longer.
func TestQuarantineSurvivesACompactedLog(t *testing.T) {
	c := qt.New(t)
	const start = 1000
	end := start + quarantine.Duration.Milliseconds()
	again := end + 2*quarantine.Duration.Milliseconds()
	s := replicated.New()
	s.Apply(1, replicated.QuarantineSegments{Segments: []quarantine.Segment{7}, At: start})
	for _, s := range []*replicated.State{s, restoreEncoded(c, s)} {
		s.Apply(2, replicated.Tick{At: end - 1})
		c.Check(s.Quarantine().Entries(), qt.DeepEquals, []quarantine.Entry{{Segment: 7, Until: end}})
		s.Apply(3, replicated.Tick{At: end})
		c.Check(s.Quarantine().Entries(), qt.HasLen, 0)
		for _, s := range []*replicated.State{s, restoreEncoded(c, s)} {
			c.Check(s.Quarantine().OnProbation(7), qt.IsTrue)
			s.Apply(4, replicated.QuarantineSegments{Segments: []quarantine.Segment{7}, At: end})
			c.Check(s.Quarantine().Entries(), qt.DeepEquals, []quarantine.Entry{{Segment: 7, Until: again}})
		}
	}
}

// TestReleaseEndsProbationOnly applies a release during the quarantine, as when a probe fails
// after the completion of another, and one after it.
func TestReleaseEndsProbationOnly(t *testing.T) {
	c := qt.New(t)
	end := quarantine.Duration.Milliseconds()
	s := replicated.New()
	s.Apply(1, replicated.QuarantineSegments{Segments: []quarantine.Segment{7, 8}})
	s.Apply(2, replicated.ReleaseSegments{Segments: []quarantine.Segment{7}, At: end - 1})
	c.Assert(s.Quarantine().Has(7), qt.IsTrue)
	c.Assert(s.Apply(3, replicated.ReleaseSegments{Segments: []quarantine.Segment{7}, At: end}).Err == nil, qt.IsTrue)
	c.Assert(s.Quarantine().Probation(), qt.DeepEquals, []quarantine.Entry{{Segment: 8, Until: end}})
	s.Apply(4, replicated.Tick{At: end + (31 * time.Minute).Milliseconds()})
	c.Assert(s.Quarantine().Records(), qt.HasLen, 0)
}
