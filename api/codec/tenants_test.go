package codec_test

import (
	"bytes"
	"compress/flate"
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/wagtaildyke/wagtaildyke/api"
	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// manyTenants returns n tenants with three keys each.
func manyTenants(n int) []routes.Tenant {
	out := make([]routes.Tenant, n)
	for i := range out {
		out[i] = routes.Tenant{Name: fmt.Sprintf("huka%04d", i), Priority: i % 4}
		for k := range 3 {
			out[i].Keys = append(out[i].Keys, routes.DigestKey(fmt.Sprintf("key-%d-%d", i, k)))
		}
	}
	return out
}

// tenantSource is what the tenants of manyTenants take in a document, with keys of 32
// characters.
func tenantSource(tenants []routes.Tenant) []byte {
	var out []byte
	for _, t := range tenants {
		out = fmt.Appendf(out, `{"Name":%q,"ApiKeys":[`, t.Name)
		for _, digest := range t.Keys {
			out = fmt.Appendf(out, `"%x",`, digest[:16])
		}
		out = fmt.Appendf(out, `],"Priority":%d},`, t.Priority)
	}
	return out
}

// oldCommand and oldSnapshot hold the document of manyRoutes(1) with limits, as encoded by
// the code before tenants (144b6ee).
const (
	oldCommand  = "728e020a8902548db14a2b41188599dd0b092184902aa45a4e152e13330904642ac1c6d2d2d2d9e4574767b2c3cc9f1011611f42f025f230e96c2ced2c7d01598985cde1f01d385ffb7a70dec9e3440d7a6cd9ced509ed8c0f8e46ad69346cd5b4c8c6f5c7eb61a0ea97cff7fcb46ef24c5c6497e24a94ad4eee9cef8b51efa70cf719feb5bb63816e5bf4b3615ed487fd57efff9b78c2da7882469c2848dc5589a1c17f949008916eec0e1a4739241eec7a058dc4918c87045b4fd586a1b1504a153e41a22aef69c976db0816bf30445b45cb8fd0338944716b97cdee5cf36298c9074ed0738915a565b425a5c21421563e3034c70d49444a1b6f4a4738825b13a0315ba8c2273ccbef000000ffff1005"
	oldSnapshot = "1a0022020a002a00428902548db14a2b41188599dd0b092184902aa45a4e152e13330904642ac1c6d2d2d2d9e4574767b2c3cc9f1011611f42f025f230e96c2ced2c7d01598985cde1f01d385ffb7a70dec9e3440d7a6cd9ced509ed8c0f8e46ad69346cd5b4c8c6f5c7eb61a0ea97cff7fcb46ef24c5c6497e24a94ad4eee9cef8b51efa70cf719feb5bb63816e5bf4b3615ed487fd57efff9b78c2da7882469c2848dc5589a1c17f949008916eec0e1a4739241eec7a058dc4918c87045b4fd586a1b1504a153e41a22aef69c976db0816bf30445b45cb8fd0338944716b97cdee5cf36298c9074ed0738915a565b425a5c21421563e3034c70d49444a1b6f4a4738825b13a0315ba8c2273ccbef000000ffff2200"
)

// TestLogsAndSnapshotsWithoutTenantsDecode guards against a replica that can't read its
// data folder after an update, or that then asks for keys.
func TestLogsAndSnapshotsWithoutTenantsDecode(t *testing.T) {
	c := qt.New(t)
	want := manyRoutes(1)
	want.Limits = routes.Limits{MaxHeaderBytes: 1, MaxBodyBytes: 2, HeaderTimeout: 3, IdleTimeout: 4 * time.Second}
	data, err := hex.DecodeString(oldCommand)
	c.Assert(err, qt.IsNil)
	command, err := codec.DecodeCommand(data)
	c.Assert(err, qt.IsNil)
	c.Assert(command, qt.DeepEquals, replicated.Command(replicated.ReplaceRoutes{Document: want, At: 5}))
	data, err = hex.DecodeString(oldSnapshot)
	c.Assert(err, qt.IsNil)
	snapshot, err := codec.DecodeSnapshot(data)
	c.Assert(err, qt.IsNil)
	c.Assert(snapshot.Routes, qt.DeepEquals, want)
}

// TestDeltaKeepsTenants guards against tenants that are lost between the leader and an
// entry.
func TestDeltaKeepsTenants(t *testing.T) {
	c := qt.New(t)
	delta := &routes.Delta{From: 1, Version: 2, SetTenants: manyTenants(2), RemovedTenants: []string{"rimu"}}
	frame, err := codec.EncodeMessage(machine.Grant{Term: 1, Update: &view.Update{Term: 1, Base: 1, Seq: 2, RoutesDelta: delta}})
	c.Assert(err, qt.IsNil)
	back, err := codec.DecodeMessage(frame)
	c.Assert(err, qt.IsNil)
	c.Assert(back.(machine.Grant).Update.RoutesDelta, qt.DeepEquals, delta)
}

// TestManyTenantsStaySmall bounds what the largest number of tenants costs the log, each
// entry's link with the whole document, and each entry's link with one changed key.
func TestManyTenantsStaySmall(t *testing.T) {
	const tenants = 3100
	c := qt.New(t)
	d := manyRoutes(3)
	d.Tenants = manyTenants(tenants)
	d.Source = append(d.Source, tenantSource(d.Tenants)...)
	without := manyRoutes(3)

	command := func(d *routes.Document) int {
		data, err := codec.EncodeCommand(replicated.ReplaceRoutes{Document: d})
		c.Assert(err, qt.IsNil)
		return len(data)
	}
	grant := func(u *view.Update) int {
		data, err := codec.EncodeMessage(machine.Grant{Term: 1, Update: u})
		c.Assert(err, qt.IsNil)
		return len(data)
	}
	perTenant := func(with, without int) float64 { return float64(with-without) / tenants }
	logged := perTenant(command(d), command(without))
	viewed := perTenant(grant(&view.Update{Term: 1, Seq: 1, Routes: withoutSource(d)}), grant(&view.Update{Term: 1, Seq: 1, Routes: withoutSource(without)}))
	changed := *d
	changed.Version++
	changed.Tenants = manyTenants(tenants)
	changed.Tenants[7].Keys = changed.Tenants[7].Keys[:2]
	delta := grant(&view.Update{Term: 1, Base: 1, Seq: 2, RoutesDelta: routes.Diff(d, &changed)})
	t.Logf("%d tenants with 3 keys: %.0f bytes each in the log, %.0f in a view; %d bytes for one removed key", tenants, logged, viewed, delta)
	c.Check(logged < 230, qt.IsTrue, qt.Commentf("%.0f bytes in the log", logged))
	c.Check(viewed < 120, qt.IsTrue, qt.Commentf("%.0f bytes in a view", viewed))
	c.Check(delta < 1000, qt.IsTrue, qt.Commentf("%d bytes for one removed key", delta))
}

// TestTruncatedDigestsAreCorrupt guards against keys that are taken from bytes of another
// length.
func TestTruncatedDigestsAreCorrupt(t *testing.T) {
	c := qt.New(t)
	plain, err := proto.Marshal(&api.LogRoutes{Version: 1, Tenants: []*api.LogTenant{{Name: "huka270", KeyDigests: make([]byte, 33)}}})
	c.Assert(err, qt.IsNil)
	data, err := proto.Marshal(&api.LogCommand{Body: &api.LogCommand_ReplaceRoutes{ReplaceRoutes: &api.LogReplaceRoutes{Routes: deflate(c, plain)}}})
	c.Assert(err, qt.IsNil)
	_, err = codec.DecodeCommand(data)
	c.Assert(fault.Is(err, fault.Corrupt), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(err, qt.ErrorMatches, ".*key digests.*")
}

func withoutSource(d *routes.Document) *routes.Document {
	out := *d
	out.Source = nil
	return &out
}

func deflate(c *qt.C, plain []byte) []byte {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	c.Assert(err, qt.IsNil)
	_, err = w.Write(plain)
	c.Assert(err, qt.IsNil)
	c.Assert(w.Close(), qt.IsNil)
	return buf.Bytes()
}
