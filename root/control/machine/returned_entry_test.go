package machine_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestEntryFindsTheLeaderAfterReplacements guards against an entry that was cut off while
// replicas were replaced, and then asks those that are gone for the leader, one after the
// other, while it serves by older routes.
func TestEntryFindsTheLeaderAfterReplacements(t *testing.T) {
	const replacedBefore, replacedMeanwhile = 2, 3
	for seed := uint64(1); seed <= 10; seed++ {
		c := qt.New(t)
		s := newSeries(seed, 5)
		entry := s.nodes[replicas]
		for i := range replacedBefore + replacedMeanwhile {
			entry.isolated = i >= replacedBefore
			s.waitForLiveLeader()
			s.replace()
		}
		c.Assert(s.violation, qt.Equals, "", qt.Commentf("seed %d", seed))
		acked := s.ackedVersion
		entry.isolated = false
		s.run(contactTime)
		have := uint64(0)
		if entry.view.Routes != nil {
			have = entry.view.Routes.Version
		}
		c.Check(have >= acked, qt.IsTrue, qt.Commentf("seed %d: the entry has version %d, %d was acknowledged", seed, have, acked))
	}
}
