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

// node is one VM. Every node is an entry. The first three are replicas, and tests of
// open membership add more.
type node struct {
	sim     *simulation
	id      string
	replica bool
	// namedInSettings is set if the settings name the node as a replica.
	namedInSettings bool
	// bootstrapped is set if the node took part in the bootstrap and still has its
	// disk.
	bootstrapped bool
	// identity is the consensus identity bound to the disk. A node that lost its
	// disk gets a new one.
	identity      consensus.ReplicaID
	m             *machine.Machine
	incarnation   uint64
	nextID        uint64
	disk          consensus.DurableState
	writes        []write
	encoding      *machine.EncodeSnapshot
	pendingOrders []pendingOrder
	view          *view.View
	down          bool
	pausedUntil   time.Time
	// diskFullUntil is until when the disk takes no writes.
	diskFullUntil time.Time
	// syncTime is added to the time of each write.
	syncTime  time.Duration
	isolated  bool
	clockRate float64
	started   time.Time
	inbox     []packet
	// inFlight counts the node's requests in flight on the engine.
	inFlight int
	pending  map[uint64]table.Change
	// serverShares are the last shares of the limits of servers.
	serverShares []fleet.ServerShare
	// granted are the probes that may run by the last GrantProbes.
	granted []uint64
}

type write struct {
	at    time.Time
	batch consensus.WriteBatch
}

type logCodec struct{}

func (logCodec) EncodeCommand(c replicated.Command) ([]byte, error)   { return codec.EncodeCommand(c) }
func (logCodec) DecodeCommand(b []byte) (replicated.Command, error)   { return codec.DecodeCommand(b) }
func (logCodec) DecodeSnapshot(b []byte) (replicated.Snapshot, error) { return codec.DecodeSnapshot(b) }

func (n *node) namedReplicas() []string {
	var out []string
	for _, o := range n.sim.nodes {
		if o.namedInSettings {
			out = append(out, o.id)
		}
	}
	return out
}

// localTime returns the time of the node's clock, which drifts.
func (n *node) localTime() time.Time {
	return n.started.Add(time.Duration(float64(n.sim.now.Sub(n.started)) * n.clockRate))
}

func (n *node) start() {
	n.started = n.sim.now
	n.incarnation++
	n.down = false
	n.view = &view.View{}
	n.pending = map[uint64]table.Change{}
	n.nextID = n.incarnation << 20
	if n.identity == "" {
		n.identity = consensus.ReplicaID(fmt.Sprintf("%s/%d", n.id, n.incarnation))
	}
	cfg := machine.Config{
		Self:         fleet.VM{ID: n.id, Incarnation: n.incarnation, Address: "http://" + n.id, FailureDomain: n.id},
		Replicas:     n.namedReplicas(),
		Timing:       machine.DefaultTiming(),
		CompactEvery: 20,
	}
	cfg.OpenMembership, cfg.LeaseOptional = n.sim.open, n.sim.open
	if !n.replica {
		n.m = machine.New(cfg, n.localTime())
	} else {
		n.m = n.newReplica(cfg)
	}
	n.m.DisableRule(n.sim.disabledRule)
	n.step(machine.Wake{})
}

func (n *node) newReplica(cfg machine.Config) *machine.Machine {
	var bootstrap consensus.Members
	for _, vm := range cfg.Replicas {
		if n.bootstrapped {
			bootstrap.Voters = append(bootstrap.Voters, consensus.ReplicaID(vm+"/first"))
		}
	}
	m, err := machine.NewReplica(cfg, machine.ReplicaConfig{
		Consensus: consensus.Config{
			ID: n.identity, ElectionTimeout: 600 * time.Millisecond,
			HeartbeatInterval: 100 * time.Millisecond, MaxClockDrift: maxDrift, MaxBatchBytes: 1 << 20,
			Seed: n.sim.rng.Uint64(),
		},
		Bootstrap: bootstrap,
		Restored:  n.disk,
		Codec:     logCodec{},
	}, n.localTime())
	if err != nil {
		panic(err)
	}
	return m
}

// step passes one event to the machine and executes the effects.
func (n *node) step(ev machine.Event) {
	for _, e := range n.m.Step(n.localTime(), ev) {
		n.execute(e)
	}
}

func (n *node) execute(e machine.Effect) {
	sim := n.sim
	switch e := e.(type) {
	case machine.Send:
		sim.send(n.id, e.To, e.Message)
	case machine.Persist:
		n.writes = append(n.writes, write{at: sim.now.Add(n.syncTime + sim.randomDelay(maxSyncDelay)), batch: e.Batch})
	case machine.Publish:
		n.publish(e.View)
	case machine.Answer:
		n.onAnswer(e)
	case machine.SetServerShares:
		n.serverShares = e.Shares
	case machine.GrantProbes:
		n.granted = e.IDs
	case machine.EncodeSnapshot:
		n.encoding = &e
	case machine.IssueOrder:
		n.issue(e)
	case machine.LeaderLost, machine.LeaderFound:
		if sim.onContact != nil {
			sim.onContact(n, e)
		}
	case machine.Halt:
		sim.fail("%s halted: %v", n.id, e.Err)
	}
}

func (n *node) publish(v *view.View) {
	if v.Table.Version < n.view.Table.Version {
		n.sim.fail("%s reverted from table version %d to %d", n.id, n.view.Table.Version, v.Table.Version)
	}
	n.view = v
}

// ready reports whether the node would start new work now.
func (n *node) ready() bool { return !n.down && n.view.Ready(n.localTime()) }

// onAnswer records an accepted table change and checks that no other one was
// accepted for the same base version.
func (n *node) onAnswer(a machine.Answer) {
	if n.sim.onAnswer != nil {
		n.sim.onAnswer(n, a)
	}
	change, ok := n.pending[a.ID]
	delete(n.pending, a.ID)
	if !ok || a.Result.Err != nil {
		return
	}
	sim := n.sim
	sim.acceptedChanges++
	sim.acceptedVersion = max(sim.acceptedVersion, a.Result.Version)
	if first, taken := sim.changeByBase[change.Base]; taken && first != change.ID {
		sim.fail("changes %s and %s were both accepted for base version %d", first, change.ID, change.Base)
	}
	sim.changeByBase[change.Base] = change.ID
}

func (n *node) paused() bool { return n.sim.now.Before(n.pausedUntil) }

// processDue handles the packets received during a pause, completes writes and
// orders that are due, and wakes the machine.
func (n *node) processDue() {
	inbox := n.inbox
	n.inbox = nil
	// Packets are delivered in random order.
	n.sim.rng.Shuffle(len(inbox), func(i, j int) { inbox[i], inbox[j] = inbox[j], inbox[i] })
	for _, m := range inbox {
		n.step(machine.Received{From: m.from, Message: m.msg})
	}
	for len(n.writes) > 0 && !n.writes[0].at.After(n.sim.now) && !n.sim.now.Before(n.diskFullUntil) {
		done := n.writes[0]
		n.writes = n.writes[1:]
		n.persist(done.batch)
		n.step(machine.Persisted{Seq: done.batch.Seq})
	}
	n.completeOrders()
	if e := n.encoding; e != nil && n.sim.rng.IntN(10) == 0 {
		n.encoding = nil
		data, err := codec.EncodeSnapshot(e.State)
		n.step(machine.SnapshotEncoded{Index: e.Index, Data: data, Err: err})
	}
	for i := 0; !n.m.NextWake().After(n.localTime()); i++ {
		if i == maxConsecutiveWakes {
			n.sim.fail("%s is in a busy loop: %d wakes at %s", n.id, i, n.localTime())
			return
		}
		n.step(machine.Wake{})
	}
}

// maxConsecutiveWakes is the number of wakes at one moment that counts as a busy
// loop. A few are normal, because a handler may make another timer due at once.
const maxConsecutiveWakes = 8

// persist makes one batch durable.
func (n *node) persist(p consensus.WriteBatch) {
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
	n.pendingOrders = nil
	n.inbox = nil
	n.inFlight = 0
	n.pausedUntil = time.Time{}
}

// propose submits a table change based on the version that the node sees.
func (n *node) propose() {
	n.nextID++
	change := table.Change{
		ID:   fmt.Sprintf("%s-%d", n.id, n.nextID),
		Base: n.view.Table.Version,
		Classes: []table.Class{{
			Name: "short", Weight: 1 + n.sim.rng.IntN(9), Concurrency: 8, RatePerSecond: 10, Queue: 8,
			Deadline: 10 * time.Second, Targets: []string{"assistant"}, Idempotent: true,
		}},
	}
	n.pending[n.nextID] = change
	n.step(machine.Submit{ID: n.nextID, Command: replicated.ChangeTable{Change: change}})
}

// varyLoad starts or ends a request at random and reports the traffic.
func (n *node) varyLoad() {
	if n.inFlight > 0 && n.sim.rng.IntN(3) == 0 {
		n.inFlight--
	}
	hasActiveServer := slices.ContainsFunc(n.view.Servers, func(s fleet.Server) bool { return s.State == fleet.Active })
	if n.ready() && hasActiveServer && n.inFlight < 3 && n.sim.rng.IntN(2) == 0 {
		n.inFlight++
	}
	n.reportTraffic()
}

// reportTraffic reports the node's requests in flight to the machine.
func (n *node) reportTraffic() {
	t := machine.TrafficReport{InFlight: n.inFlight, ViewTerm: n.view.Term, ViewSeq: n.view.Seq}
	if n.inFlight > 0 {
		t.Loads = []fleet.OwnLoad{{Server: engineID, Running: n.inFlight}}
	}
	n.step(t)
}
