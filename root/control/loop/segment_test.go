package loop_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// grantRecorder keeps the ids that it was passed last.
type grantRecorder chan []uint64

func (r grantRecorder) GrantProbes(ids []uint64) {
	select {
	case r <- ids:
	default:
	}
}

// TestGrantedProbesReachTraffic fails when a grant is not passed on, or when the loop
// needs a receiver.
func TestGrantedProbesReachTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := startReplica(t, &view.Store{})
		report := machine.SegmentReport{ProbesChanged: true, Probes: []quarantine.ProbeRequest{{ID: 5, Segments: []quarantine.Segment{1}}}}
		c.Assert(l.Post(t.Context(), report), qt.IsNil)
		time.Sleep(2 * time.Second)
		grants := make(grantRecorder, 1)
		l.SetProbeGrants(grants)
		c.Assert(<-grants, qt.DeepEquals, []uint64{5})
	})
}
