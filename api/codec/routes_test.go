package codec_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

func manyRoutes(n int) *routes.Document {
	d := &routes.Document{Version: 96, Services: []routes.Service{{Name: "llm", MaxConnections: 300, Engine: &routes.Engine{Slots: 12, SupportsMove: true}}}}
	for i := range n {
		r := routes.Route{
			Name: fmt.Sprintf("r-%d", i), Host: "titi20.example", Prefix: fmt.Sprintf("/rati%d/", i), Kind: routes.Stream,
			Timeout: 5 * time.Second, LatencyObjective: time.Second, GapObjective: time.Second, Priority: 1, MaxAttempts: 2, DescribesPrompt: true, Resumable: true,
			Split: []routes.WeightedService{{Service: "llm", Weight: 1}},
		}
		d.Routes = append(d.Routes, r)
		d.Source = fmt.Appendf(d.Source, `{"name":%q,"host":%q,"prefix":%q,"kind":"stream","timeout":"5000 ms","objective":"500 ms","priority":1,"service":"llm","attempts":2,"describes a prompt":true,"resumable":true,"gap":"150 ms"},`, r.Name, r.Host, r.Prefix)
	}
	return d
}

func TestRoutesKeepAllOfTheirFields(t *testing.T) {
	c := qt.New(t)
	d := manyRoutes(3)
	d.Limits = routes.Limits{MaxHeaderBytes: 1, MaxBodyBytes: 2, HeaderTimeout: 3, IdleTimeout: 4}
	d.Routes[1].Public = true
	d.Tenants = append(manyTenants(2), routes.Tenant{Name: "without keys"})
	data, err := codec.EncodeCommand(replicated.ReplaceRoutes{Document: d, At: 5})
	c.Assert(err, qt.IsNil)
	back, err := codec.DecodeCommand(data)
	c.Assert(err, qt.IsNil)
	c.Assert(back, qt.DeepEquals, replicated.Command(replicated.ReplaceRoutes{Document: d, At: 5}))
	snapshot, err := codec.EncodeSnapshot(replicated.Snapshot{Routes: d})
	c.Assert(err, qt.IsNil)
	restored, err := codec.DecodeSnapshot(snapshot)
	c.Assert(err, qt.IsNil)
	c.Assert(restored.Routes, qt.DeepEquals, d)
}

// TestManyRoutesStaySmall bounds what a large document costs each entry's link
// (10 Mbit/s, shared with callers) and the log.
func TestManyRoutesStaySmall(t *testing.T) {
	c := qt.New(t)
	d := manyRoutes(2000)
	data, err := codec.EncodeCommand(replicated.ReplaceRoutes{Document: d})
	c.Assert(err, qt.IsNil)
	c.Assert(len(data) < 150_000, qt.IsTrue, qt.Commentf("%d bytes in the log", len(data)))
	inView := *d
	inView.Source = nil
	frame, err := codec.EncodeMessage(machine.Grant{Term: 1, Update: &view.Update{Term: 1, Seq: 1, Routes: &inView}})
	c.Assert(err, qt.IsNil)
	c.Assert(len(frame) < 64<<10, qt.IsTrue, qt.Commentf("%d bytes to an entry", len(frame)))
	back, err := codec.DecodeMessage(frame)
	c.Assert(err, qt.IsNil)
	c.Assert(back.(machine.Grant).Update.Routes, qt.DeepEquals, &inView)
}

func TestDamagedRoutesAreCorrupt(t *testing.T) {
	c := qt.New(t)
	data, err := codec.EncodeCommand(replicated.ReplaceRoutes{Document: manyRoutes(3)})
	c.Assert(err, qt.IsNil)
	data[len(data)/2] ^= 0xff
	_, err = codec.DecodeCommand(data)
	c.Assert(fault.Is(err, fault.Corrupt), qt.IsTrue, qt.Commentf("%v", err))
}
