package codec_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/wagtaildyke/wagtaildyke/api"
	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/clock"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// TestOlderReleaseSendsNoAges decodes the completions of an entry of an older release, which
// have no ages.
func TestOlderReleaseSendsNoAges(t *testing.T) {
	c := qt.New(t)
	frame, err := proto.Marshal(&api.Envelope{Body: &api.Envelope_Renew{Renew: &api.Renew{Vm: &api.VM{Id: "vm-1"}, CompletedSegments: []uint64{7}}}})
	c.Assert(err, qt.IsNil)
	before := clock.Now()
	msg, err := codec.DecodeMessage(frame)
	c.Assert(err, qt.IsNil)
	completed := msg.(machine.Renew).CompletedSegments
	c.Assert(completed, qt.HasLen, 1)
	c.Assert(completed[0].Segment, qt.Equals, quarantine.Segment(7))
	c.Assert(completed[0].At.Sub(before) >= 0 && completed[0].At.Sub(before) < time.Minute, qt.IsTrue)
}

// TestSnapshotOfAnOlderReleaseHasNoDurations restores the quarantine of a snapshot without the
// durations.
func TestSnapshotOfAnOlderReleaseHasNoDurations(t *testing.T) {
	c := qt.New(t)
	snap := replicated.New().Snapshot()
	snap.Now, snap.Quarantine = 1000, []quarantine.Record{{Segment: 7, Until: 5000}}
	data, err := codec.EncodeSnapshot(snap)
	c.Assert(err, qt.IsNil)
	s := restored(c, data)
	c.Assert(s.Quarantine().Records(), qt.DeepEquals, []quarantine.Record{{Segment: 7, Until: 5000, Duration: quarantine.Duration.Milliseconds()}})
	c.Assert(s.Quarantine().Has(7), qt.IsTrue)
}
