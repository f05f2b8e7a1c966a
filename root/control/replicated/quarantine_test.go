package replicated_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// TestQuarantineSurvivesACompactedLog restores the quarantine from an encoded snapshot. It
// ends with the time of the log alone.
func TestQuarantineSurvivesACompactedLog(t *testing.T) {
	c := qt.New(t)
	const start = 1000
	end := start + quarantine.Duration.Milliseconds()
	s := replicated.New()
	s.Apply(1, replicated.QuarantineSegments{Segments: []quarantine.Segment{7}, At: start})
	data, err := codec.EncodeSnapshot(s.Snapshot())
	c.Assert(err, qt.IsNil)
	snapshot, err := codec.DecodeSnapshot(data)
	c.Assert(err, qt.IsNil)
	restored, err := replicated.Restore(snapshot)
	c.Assert(err, qt.IsNil)
	for _, s := range []*replicated.State{s, restored} {
		s.Apply(2, replicated.Tick{At: end - 1})
		c.Check(s.Quarantine().Entries(), qt.DeepEquals, []quarantine.Entry{{Segment: 7, Until: end}})
		s.Apply(3, replicated.Tick{At: end})
		c.Check(s.Quarantine().Entries(), qt.HasLen, 0)
	}
}
