package machine_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// node is one VM: entry and, for the first three, replica.
type node struct {
	w       *world
	id      string
	replica bool
	// seed says that the settings name the node as a replica.
	seed bool
	// founder says that the node took part in the bootstrap and has its disk still.
	founder bool
	// identity is the consensus identity of the disk; a lost disk ends it.
	identity    consensus.NodeID
	m           *machine.Machine
	incarnation uint64
	nextID      uint64
	disk        consensus.DurableState
	writes      []write
	encoding    *machine.EncodeSnapshot
	sends       []send
	view        *view.View
	down        bool
	pausedUntil time.Time
	isolated    bool
	rate        float64
	started     time.Time
	inbox       []mail
	// streams counts requests in flight on the engine.
	streams int
	pending map[uint64]table.Change
}

type write struct {
	at    time.Time
	batch consensus.WriteBatch
}

type logCodec struct{}

func (logCodec) EncodeCommand(c replicated.Command) ([]byte, error)   { return codec.EncodeCommand(c) }
func (logCodec) DecodeCommand(b []byte) (replicated.Command, error)   { return codec.DecodeCommand(b) }
func (logCodec) DecodeSnapshot(b []byte) (replicated.Snapshot, error) { return codec.DecodeSnapshot(b) }

func (n *node) replicaVMs() []string {
	var out []string
	for _, o := range n.w.nodes {
		if o.seed {
			out = append(out, o.id)
		}
	}
	return out
}

// local is the node's own clock, which runs at its own rate.
func (n *node) local() time.Time {
	return n.started.Add(time.Duration(float64(n.w.now.Sub(n.started)) * n.rate))
}

func (n *node) start() {
	n.started = n.w.now
	n.incarnation++
	n.down = false
	n.view = &view.View{}
	n.pending = map[uint64]table.Change{}
	n.nextID = n.incarnation << 20
	if n.identity == "" {
		n.identity = consensus.NodeID(fmt.Sprintf("%s/%d", n.id, n.incarnation))
	}
	cfg := machine.Config{
		Self:         fleet.VM{ID: n.id, Incarnation: n.incarnation, Address: "http://" + n.id, FailureDomain: n.id},
		Replicas:     n.replicaVMs(),
		Timing:       machine.DefaultTiming(),
		CompactEvery: 20,
	}
	cfg.OpenMembership, cfg.LeaseOptional = n.w.open, n.w.open
	if !n.replica {
		n.m = machine.New(cfg, n.local())
	} else {
		n.m = n.newReplica(cfg)
	}
	n.m.Break(n.w.broken)
	n.step(machine.Wake{})
}

func (n *node) newReplica(cfg machine.Config) *machine.Machine {
	var boot consensus.Members
	for _, vm := range cfg.Replicas {
		if n.founder {
			boot.Voters = append(boot.Voters, consensus.NodeID(vm+"/first"))
		}
	}
	m, err := machine.NewReplica(cfg, machine.ReplicaConfig{
		Consensus: consensus.Config{
			ID: n.identity, ElectionTimeout: 600 * time.Millisecond,
			HeartbeatInterval: 100 * time.Millisecond, MaxClockDrift: maxDrift, MaxBatchBytes: 1 << 20,
			Seed: n.w.rng.Uint64(),
		},
		Bootstrap: boot,
		Restored:  n.disk,
		Codec:     logCodec{},
	}, n.local())
	if err != nil {
		panic(err)
	}
	return m
}

// step feeds one event and carries out the effects.
func (n *node) step(ev machine.Event) {
	for _, e := range n.m.Step(n.local(), ev) {
		n.carryOut(e)
	}
}

func (n *node) carryOut(e machine.Effect) {
	w := n.w
	switch e := e.(type) {
	case machine.Send:
		w.send(n.id, e.To, e.Message)
	case machine.Persist:
		n.writes = append(n.writes, write{at: w.now.Add(w.jitter(syncDelay)), batch: e.Batch})
	case machine.Publish:
		n.publish(e.View)
	case machine.Answer:
		n.answered(e)
	case machine.EncodeSnapshot:
		n.encoding = &e
	case machine.IssueOrder:
		n.issue(e)
	case machine.Halt:
		w.fail("%s halted: %v", n.id, e.Err)
	}
}

func (n *node) publish(v *view.View) {
	if v.Table.Version < n.view.Table.Version {
		n.w.fail("%s went back from version %d to %d", n.id, n.view.Table.Version, v.Table.Version)
	}
	n.view = v
}

// ready reports whether the node would start new work now.
func (n *node) ready() bool { return !n.down && n.view.Ready(n.local()) }

// answered checks that an accepted change is in force at every ready entry.
func (n *node) answered(a machine.Answer) {
	if n.w.answers != nil {
		n.w.answers(n, a)
	}
	change, ok := n.pending[a.ID]
	delete(n.pending, a.ID)
	if !ok || a.Result.Err != nil {
		return
	}
	w := n.w
	w.changes++
	w.accepted = max(w.accepted, a.Result.Version)
	if first, taken := w.winners[change.Base]; taken && first != change.ID {
		w.fail("changes %s and %s both won from version %d", first, change.ID, change.Base)
	}
	w.winners[change.Base] = change.ID
}

func (n *node) paused() bool { return n.w.now.Before(n.pausedUntil) }

// run catches up on what came during a pause, finishes writes and wakes.
func (n *node) run() {
	inbox := n.inbox
	n.inbox = nil
	// Each peer has its own connection, so what waited comes in any order.
	n.w.rng.Shuffle(len(inbox), func(i, j int) { inbox[i], inbox[j] = inbox[j], inbox[i] })
	for _, m := range inbox {
		n.step(machine.Received{From: m.from, Message: m.msg})
	}
	for len(n.writes) > 0 && !n.writes[0].at.After(n.w.now) {
		done := n.writes[0]
		n.writes = n.writes[1:]
		n.store(done.batch)
		n.step(machine.Persisted{Seq: done.batch.Seq})
	}
	n.land()
	if e := n.encoding; e != nil && n.w.rng.IntN(10) == 0 {
		n.encoding = nil
		data, err := codec.EncodeSnapshot(e.State)
		n.step(machine.SnapshotEncoded{Index: e.Index, Data: data, Err: err})
	}
	for i := 0; !n.m.NextWake().After(n.local()); i++ {
		if i == mostWakes {
			n.w.fail("%s wants to be woken again after %d wakes at %s", n.id, i, n.local())
			return
		}
		n.step(machine.Wake{})
	}
}

// mostWakes is the number of wakes at one moment after which the control thread
// spins: each timer may start one other.
const mostWakes = 8

// store makes one batch durable.
func (n *node) store(p consensus.WriteBatch) {
	d := &n.disk
	if p.HardState != nil {
		d.HardState = *p.HardState
	}
	if p.Snapshot != nil {
		d.Snapshot = p.Snapshot
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e consensus.Entry) bool { return e.Index <= p.Snapshot.Index })
	}
	if p.Truncate {
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e consensus.Entry) bool { return e.Index > p.TruncateAfter })
	}
	d.Entries = append(slices.Clone(d.Entries), p.Entries...)
}

func (n *node) crash() {
	n.down = true
	n.writes = nil
	n.encoding = nil
	n.sends = nil
	n.inbox = nil
	n.streams = 0
	n.pausedUntil = time.Time{}
}

// propose submits a change made from the version that the node sees.
func (n *node) propose() {
	n.nextID++
	change := table.Change{
		ID:   fmt.Sprintf("%s-%d", n.id, n.nextID),
		Base: n.view.Table.Version,
		Classes: []table.Class{{
			Name: "short", Weight: 1 + n.w.rng.IntN(9), Concurrency: 8, RatePerSecond: 10, Queue: 8,
			Deadline: 10 * time.Second, Targets: []string{"assistant"}, Idempotent: true,
		}},
	}
	n.pending[n.nextID] = change
	n.step(machine.Submit{ID: n.nextID, Command: replicated.ChangeTable{Change: change}})
}

// serve starts or ends streams as traffic would, and reports them.
func (n *node) serve() {
	if n.streams > 0 && n.w.rng.IntN(3) == 0 {
		n.streams--
	}
	open := slices.ContainsFunc(n.view.Servers, func(s fleet.Server) bool { return s.State == fleet.Active })
	if n.ready() && open && n.streams < 3 && n.w.rng.IntN(2) == 0 {
		n.streams++
	}
	n.report()
}

// report tells the machine about its streams.
func (n *node) report() {
	t := machine.Traffic{InFlight: n.streams, ViewTerm: n.view.Term, ViewSeq: n.view.Seq}
	if n.streams > 0 {
		t.Loads = []fleet.OwnLoad{{Server: engineID, Running: n.streams}}
	}
	n.step(t)
}
