package codec_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// TestRecordedServersKeepTheirFields holds for the log and for snapshots. Loads and
// what is set by operators are not recorded.
func TestRecordedServersKeepTheirFields(t *testing.T) {
	c := qt.New(t)
	server := filled[fleet.Server]()
	server.Load = fleet.Load{}
	server.ChecksFencing = false
	cmd := replicated.RecordFleet{Servers: []fleet.Server{server}, Removed: []string{"gone"}, At: 5}
	data, err := codec.EncodeCommand(cmd)
	c.Assert(err, qt.IsNil)
	back, err := codec.DecodeCommand(data)
	c.Assert(err, qt.IsNil)
	c.Assert(back, qt.DeepEquals, replicated.Command(cmd))
	snap := replicated.Snapshot{Fleet: map[string]fleet.Server{server.ID: server}}
	data, err = codec.EncodeSnapshot(snap)
	c.Assert(err, qt.IsNil)
	restored, err := codec.DecodeSnapshot(data)
	c.Assert(err, qt.IsNil)
	c.Assert(restored.Fleet, qt.DeepEquals, snap.Fleet)
}
