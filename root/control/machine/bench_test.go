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

// deployment is the size of a simulated deployment.
type deployment struct{ entries, servers, classes int }

func (d deployment) String() string {
	return fmt.Sprintf("entries=%d,servers=%d,classes=%d", d.entries, d.servers, d.classes)
}

var deployments = []deployment{{8, 16, 4}, {8, 21, 4}, {98, 275, 34}, {390, 1100, 34}}

// benchmark drives one leader. Its entries are simulated by fakeEntry.
type benchmark struct {
	deployment deployment
	leader     *machine.Machine
	now        time.Time
	entries    []*fakeEntry
	renewals   int
	// bytesUp and bytesDown are the total sizes of the frames sent by entries and by
	// the leader.
	bytesUp, bytesDown int
}

// fakeEntry applies the leader's updates as an entry would.
type fakeEntry struct {
	id   string
	view *view.View
}

func newBenchmark(b *testing.B, d deployment) *benchmark {
	f := &benchmark{deployment: d, now: time.Unix(1000, 0)}
	m, err := machine.NewReplica(machine.Config{
		Self: fleet.VM{ID: "leader", Incarnation: 1}, Replicas: []string{"leader"}, Timing: machine.DefaultTiming(),
	}, machine.ReplicaConfig{
		Consensus: consensus.Config{
			ID: "leader/first", ElectionTimeout: 600 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond,
			MaxClockDrift: maxDrift, MaxBatchBytes: 1 << 20, Seed: 1,
		},
		Bootstrap: consensus.Members{Voters: []consensus.ReplicaID{"leader/first"}},
		Codec:     logCodec{},
	}, f.now)
	if err != nil {
		b.Fatal(err)
	}
	f.leader = m
	for i := range d.entries {
		f.entries = append(f.entries, &fakeEntry{id: fmt.Sprintf("vm-%03d", i), view: &view.View{}})
	}
	for !m.Leads() {
		f.step(machine.Wake{})
		f.now = f.now.Add(50 * time.Millisecond)
	}
	f.step(machine.Submit{ID: 1, Command: replicated.ChangeTable{Change: table.Change{ID: "t", Classes: f.classes()}}})
	for range 6 * d.entries {
		f.renew()
	}
	f.bytesUp, f.bytesDown = 0, 0
	return f
}

func (f *benchmark) classes() []table.Class {
	var out []table.Class
	for i := range f.deployment.classes {
		out = append(out, table.Class{
			Name: fmt.Sprintf("class-%d", i), Weight: 1, Concurrency: 1000, RatePerSecond: 100, Queue: 1000,
			Deadline: 10 * time.Second, Targets: []string{fmt.Sprintf("model-%d", i)}, Idempotent: true,
		})
	}
	return out
}

// step passes an event to the leader and delivers its messages to the entries.
func (f *benchmark) step(ev machine.Event) {
	for _, e := range f.leader.Step(f.now, ev) {
		switch e := e.(type) {
		case machine.Persist:
			f.step(machine.Persisted{Seq: e.Batch.Seq})
		case machine.Send:
			f.deliver(e)
		}
	}
}

func (f *benchmark) deliver(e machine.Send) {
	g, ok := e.Message.(machine.Grant)
	if !ok {
		return
	}
	frame, err := codec.EncodeMessage(g)
	if err != nil {
		panic(err)
	}
	f.bytesDown += len(frame)
	var i int
	if _, err := fmt.Sscanf(e.To, "vm-%d", &i); err != nil || g.Update == nil {
		return
	}
	if next, ok := g.Update.Apply(f.entries[i].view); ok {
		f.entries[i].view = next
	}
}

// renew sends one entry's report. Every entry renews twice a second, and every
// backend server announces itself to one of them once a second. Each Renew carries all
// servers of the entry, although a real one omits those that the leader has confirmed.
func (f *benchmark) renew() {
	i := f.renewals % f.deployment.entries
	round := f.renewals / f.deployment.entries
	f.renewals++
	f.now = f.now.Add(500 * time.Millisecond / time.Duration(f.deployment.entries))
	n := f.entries[i]
	msg := machine.Renew{
		VM:       fleet.VM{ID: n.id, Incarnation: 1, Address: "http://10.0.0.1:8080", FailureDomain: "a", InFlight: round % 7},
		ViewTerm: n.view.Term, ViewSeq: n.view.Seq, TableVersion: n.view.Table.Version,
		Heard: f.announcements(i, round), Loads: f.loads(i), Demands: f.demands(),
	}
	frame, err := codec.EncodeMessage(msg)
	if err != nil {
		panic(err)
	}
	f.bytesUp += len(frame)
	f.step(machine.Received{From: n.id, Message: msg})
}

func (f *benchmark) announcements(entry, round int) []fleet.Announcement {
	var out []fleet.Announcement
	for s := entry; s < f.deployment.servers; s += f.deployment.entries {
		out = append(out, fleet.Announcement{Age: time.Duration(round%2) * 500 * time.Millisecond, Server: fleet.Server{
			ID: fmt.Sprintf("engine-%04d", s), Incarnation: 1, Address: "http://10.0.0.1:8000", FailureDomain: "a",
			Targets: []string{fmt.Sprintf("model-%d", s%f.deployment.classes)}, Slots: 64,
			Load: fleet.Load{Running: (s + round/2) % 50, AnnouncedAt: f.now},
		}})
	}
	return out
}

// loads returns an entry's requests on the backend servers that it uses.
func (f *benchmark) loads(entry int) []fleet.OwnLoad {
	var out []fleet.OwnLoad
	for k := range min(64, f.deployment.servers) {
		out = append(out, fleet.OwnLoad{Server: fmt.Sprintf("engine-%04d", (entry+k)%f.deployment.servers), Running: 2, Tokens: 500})
	}
	return out
}

func (f *benchmark) demands() []fleet.Demand {
	var out []fleet.Demand
	for i := range f.deployment.classes {
		out = append(out, fleet.Demand{Class: fmt.Sprintf("class-%d", i), Running: 2, Waiting: 1, RatePerSecond: 0.2})
	}
	return out
}

// BenchmarkLeaderRenew measures the cost of one Renew, including the simulated entry's
// part and the encoding of messages, and the bytes per second of control messages.
func BenchmarkLeaderRenew(b *testing.B) {
	for _, d := range deployments {
		b.Run(d.String(), func(b *testing.B) {
			f := newBenchmark(b, d)
			for b.Loop() {
				f.renew()
			}
			const renewsPerSecond = 2
			perRenew := b.Elapsed().Seconds() / float64(b.N)
			b.ReportMetric(100*perRenew*renewsPerSecond*float64(d.entries), "leader-core-%")
			b.ReportMetric(renewsPerSecond*float64(f.bytesUp)/float64(b.N), "up-B/s/entry")
			b.ReportMetric(renewsPerSecond*float64(f.bytesDown)/float64(b.N), "down-B/s/entry")
		})
	}
}

// BenchmarkTableChange measures pushing one table change to every entry. The entries
// don't renew, so no change is answered and the time per change grows with b.N.
func BenchmarkTableChange(b *testing.B) {
	for _, d := range deployments {
		b.Run(d.String(), func(b *testing.B) {
			f := newBenchmark(b, d)
			version := uint64(1)
			for b.Loop() {
				change := table.Change{ID: fmt.Sprint("c", version), Base: version, Classes: f.classes()}
				f.step(machine.Submit{ID: version + 1, Command: replicated.ChangeTable{Change: change}})
				version++
			}
			b.ReportMetric(float64(f.bytesDown)/float64(b.N)/float64(d.entries), "down-B/entry")
		})
	}
}
