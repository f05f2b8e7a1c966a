package machine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// size is one deployment.
type size struct{ entries, servers, classes int }

func (s size) String() string {
	return fmt.Sprintf("entries=%d,servers=%d,classes=%d", s.entries, s.servers, s.classes)
}

var sizes = []size{{8, 16, 4}, {8, 21, 4}, {98, 275, 34}, {390, 1100, 34}}

// bench is a leader and one of its entries, with the rest of the fleet as messages.
type bench struct {
	size    size
	leader  *machine.Machine
	now     time.Time
	entries []*entryModel
	turn    int
	// bytes of frames sent by entries and by the leader.
	up, down int
}

// entryModel answers the leader as an entry would.
type entryModel struct {
	id   string
	view *view.View
}

func newBench(b *testing.B, s size) *bench {
	f := &bench{size: s, now: time.Unix(1000, 0)}
	m, err := machine.NewReplica(machine.Config{
		Self: fleet.VM{ID: "leader", Incarnation: 1}, Replicas: []string{"leader"}, Timing: machine.DefaultTiming(),
	}, machine.ReplicaConfig{
		Consensus: consensus.Config{
			ID: "leader/first", ElectionTimeout: 600 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond,
			MaxClockDrift: maxDrift, MaxBatchBytes: 1 << 20, Seed: 1,
		},
		Bootstrap: consensus.Members{Voters: []consensus.NodeID{"leader/first"}},
		Codec:     logCodec{},
	}, f.now)
	if err != nil {
		b.Fatal(err)
	}
	f.leader = m
	for i := range s.entries {
		f.entries = append(f.entries, &entryModel{id: fmt.Sprintf("vm-%03d", i), view: &view.View{}})
	}
	for !m.Leads() {
		f.step(machine.Wake{})
		f.now = f.now.Add(50 * time.Millisecond)
	}
	f.step(machine.Submit{ID: 1, Command: replicated.ChangeTable{Change: table.Change{ID: "t", Classes: f.classes()}}})
	for range 6 * s.entries {
		f.renew()
	}
	f.up, f.down = 0, 0
	return f
}

func (f *bench) classes() []table.Class {
	var out []table.Class
	for i := range f.size.classes {
		out = append(out, table.Class{
			Name: fmt.Sprintf("class-%d", i), Weight: 1, Concurrency: 1000, RatePerSecond: 100, Queue: 1000,
			Deadline: 10 * time.Second, Targets: []string{fmt.Sprintf("model-%d", i)}, Idempotent: true,
		})
	}
	return out
}

// step feeds the leader and carries out its effects at the entries.
func (f *bench) step(ev machine.Event) {
	for _, e := range f.leader.Step(f.now, ev) {
		switch e := e.(type) {
		case machine.Persist:
			f.step(machine.Persisted{Seq: e.Batch.Seq})
		case machine.Send:
			f.deliver(e)
		}
	}
}

func (f *bench) deliver(e machine.Send) {
	g, ok := e.Message.(machine.Grant)
	if !ok {
		return
	}
	frame, err := codec.EncodeMessage(g)
	if err != nil {
		panic(err)
	}
	f.down += len(frame)
	var i int
	if _, err := fmt.Sscanf(e.To, "vm-%d", &i); err != nil || g.Update == nil {
		return
	}
	if next, ok := g.Update.Apply(f.entries[i].view); ok {
		f.entries[i].view = next
	}
}

// renew is one entry's report: every entry renews twice a second, and a backend
// server announces itself once a second to one of them.
func (f *bench) renew() {
	i := f.turn % f.size.entries
	round := f.turn / f.size.entries
	f.turn++
	f.now = f.now.Add(500 * time.Millisecond / time.Duration(f.size.entries))
	n := f.entries[i]
	msg := machine.Renew{
		VM:       fleet.VM{ID: n.id, Incarnation: 1, Address: "http://10.0.0.1:8080", FailureDomain: "a", InFlight: round % 7},
		ViewTerm: n.view.Term, ViewSeq: n.view.Seq, TableVersion: n.view.Table.Version,
		Heard: f.heard(i, round), Loads: f.loads(i), Demands: f.demands(),
	}
	frame, err := codec.EncodeMessage(msg)
	if err != nil {
		panic(err)
	}
	f.up += len(frame)
	f.step(machine.Received{From: n.id, Message: msg})
}

func (f *bench) heard(entry, round int) []fleet.Announcement {
	var out []fleet.Announcement
	for s := entry; s < f.size.servers; s += f.size.entries {
		out = append(out, fleet.Announcement{Age: time.Duration(round%2) * 500 * time.Millisecond, Server: fleet.Server{
			ID: fmt.Sprintf("engine-%04d", s), Incarnation: 1, Address: "http://10.0.0.1:8000", FailureDomain: "a",
			Targets: []string{fmt.Sprintf("model-%d", s%f.size.classes)}, Slots: 64,
			Load: fleet.Load{Running: (s + round/2) % 50, ReportedAt: f.now},
		}})
	}
	return out
}

// loads is an entry's work on the backend servers that it uses.
func (f *bench) loads(entry int) []fleet.OwnLoad {
	var out []fleet.OwnLoad
	for k := range min(64, f.size.servers) {
		out = append(out, fleet.OwnLoad{Server: fmt.Sprintf("engine-%04d", (entry+k)%f.size.servers), Running: 2, Tokens: 500})
	}
	return out
}

func (f *bench) demands() []fleet.Demand {
	var out []fleet.Demand
	for i := range f.size.classes {
		out = append(out, fleet.Demand{Class: fmt.Sprintf("class-%d", i), Running: 2, Waiting: 1, RatePerSecond: 0.2})
	}
	return out
}

// BenchmarkLeaderRenew measures what one Renew costs the leader's control
// thread, and the bytes a second that control messages take.
func BenchmarkLeaderRenew(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			f := newBench(b, s)
			for b.Loop() {
				f.renew()
			}
			const renewsPerSecond = 2
			perRenew := b.Elapsed().Seconds() / float64(b.N)
			b.ReportMetric(100*perRenew*renewsPerSecond*float64(s.entries), "leader-core-%")
			b.ReportMetric(renewsPerSecond*float64(f.up)/float64(b.N), "up-B/s/entry")
			b.ReportMetric(renewsPerSecond*float64(f.down)/float64(b.N), "down-B/s/entry")
		})
	}
}

// BenchmarkTableChange measures the push of one change to every entry.
func BenchmarkTableChange(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			f := newBench(b, s)
			version := uint64(1)
			for b.Loop() {
				change := table.Change{ID: fmt.Sprint("c", version), Base: version, Classes: f.classes()}
				f.step(machine.Submit{ID: version + 1, Command: replicated.ChangeTable{Change: change}})
				version++
			}
			b.ReportMetric(float64(f.down)/float64(b.N)/float64(s.entries), "down-B/entry")
		})
	}
}
