package machine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// world runs a few machines on one virtual clock with a network that loses,
// doubles and delays, disks that lose unsynced writes, pauses and clock drift.
type world struct {
	rng    *rand.Rand
	now    time.Time
	nodes  []*node
	engine *engineModel
	mail   []mail
	broken machine.Rule
	// cut holds directed links that lose everything.
	cut map[[2]string]bool
	// accepted is the highest version answered as in force everywhere.
	accepted uint64
	winners  map[uint64]string
	changes  int
	orders   int
	settled  int
	problem  string
}

type mail struct {
	at       time.Time
	from, to string
	msg      machine.Message
}

// node is one VM: entry and, for the first three, replica.
type node struct {
	w           *world
	id          string
	replica     bool
	m           *machine.Machine
	incarnation uint64
	nextID      uint64
	disk        consensus.Restored
	writes      []write
	encoding    *machine.EncodeSnapshot
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
	batch consensus.Persist
}

// engineModel is a backend server: streams in flight and orders carried out.
type engineModel struct {
	role        fleet.Role
	fence       uint64
	changedWith int
}

type logCodec struct{}

func (logCodec) EncodeCommand(c replicated.Command) ([]byte, error)   { return codec.EncodeCommand(c) }
func (logCodec) DecodeCommand(b []byte) (replicated.Command, error)   { return codec.DecodeCommand(b) }
func (logCodec) DecodeSnapshot(b []byte) (replicated.Snapshot, error) { return codec.DecodeSnapshot(b) }

const (
	replicas  = 3
	entries   = 2
	maxDrift  = 0.01
	stepTime  = 5 * time.Millisecond
	engineID  = "engine-1"
	netDelay  = 8 * time.Millisecond
	syncDelay = 6 * time.Millisecond
)

func newWorld(seed uint64, broken machine.Rule) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), broken: broken,
		winners: map[uint64]string{}, cut: map[[2]string]bool{}, engine: &engineModel{},
	}
	for i := range replicas + entries {
		n := &node{w: w, id: fmt.Sprintf("vm-%d", i+1), replica: i < replicas, rate: 1 + (w.rng.Float64()-0.5)*maxDrift}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

func (n *node) replicaVMs() []string {
	var out []string
	for _, o := range n.w.nodes {
		if o.replica {
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
	cfg := machine.Config{
		Self:         fleet.VM{ID: n.id, Incarnation: n.incarnation, Address: "http://" + n.id, FailureDomain: n.id},
		Replicas:     n.replicaVMs(),
		Timing:       machine.DefaultTiming(),
		CompactEvery: 20,
	}
	if !n.replica {
		n.m = machine.New(cfg, n.local())
	} else {
		n.m = n.newReplica(cfg)
	}
	n.m.Break(n.w.broken)
	n.step(machine.Wake{})
}

func (n *node) newReplica(cfg machine.Config) *machine.Machine {
	var voters []consensus.NodeID
	for _, vm := range cfg.Replicas {
		voters = append(voters, consensus.NodeID(vm+"/first"))
	}
	m, err := machine.NewReplica(cfg, machine.ReplicaConfig{
		Consensus: consensus.Config{
			ID: consensus.NodeID(n.id + "/first"), ElectionTimeout: 600 * time.Millisecond,
			HeartbeatInterval: 100 * time.Millisecond, MaxClockDrift: maxDrift, MaxBatchBytes: 1 << 20,
			Seed: n.w.rng.Uint64(),
		},
		Bootstrap: consensus.Members{Voters: voters},
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

// checkInForce holds at every moment: no node that may start work has a table
// older than one answered as in force everywhere.
func (w *world) checkInForce() {
	for _, n := range w.nodes {
		if n.ready() && n.view.Table.Version < w.accepted {
			w.fail("%s may start work on version %d; %d is in force", n.id, n.view.Table.Version, w.accepted)
		}
	}
}

// issue carries out an order at once.
func (n *node) issue(e machine.IssueOrder) {
	w := n.w
	w.orders++
	done := machine.OrderDone{Server: e.Server.ID, Fence: e.Order.Fence}
	if e.Observe {
		done.Applied = w.engine.role == e.Order.Action.Role
	} else {
		w.engine.role = e.Order.Action.Role
		w.engine.fence = e.Number
		w.engine.changedWith = w.streams()
		done.Applied = true
		if w.engine.changedWith > 0 {
			w.fail("an order cut %d streams", w.engine.changedWith)
		}
	}
	w.settled++
	n.step(done)
}

func (w *world) streams() int {
	sum := 0
	for _, n := range w.nodes {
		if !n.down {
			sum += n.streams
		}
	}
	return sum
}

func (w *world) fail(format string, args ...any) {
	if w.problem == "" {
		w.problem = fmt.Sprintf(format, args...)
	}
}

func (w *world) jitter(most time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(most)) + 1)
}

func (w *world) node(id string) *node {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == id })
	return w.nodes[i]
}

func (w *world) send(from, to string, msg machine.Message) {
	if w.node(from).isolated || w.node(to).isolated || w.cut[[2]string{from, to}] || w.rng.IntN(50) == 0 {
		return
	}
	copies := 1
	if w.rng.IntN(50) == 0 {
		copies = 2
	}
	for range copies {
		w.mail = append(w.mail, mail{at: w.now.Add(w.jitter(netDelay)), from: from, to: to, msg: msg})
	}
}

// advance moves the clock one step and delivers what is due.
func (w *world) advance() {
	w.now = w.now.Add(stepTime)
	due := slices.DeleteFunc(slices.Clone(w.mail), func(m mail) bool { return m.at.After(w.now) })
	w.mail = slices.DeleteFunc(w.mail, func(m mail) bool { return !m.at.After(w.now) })
	for _, m := range due {
		n := w.node(m.to)
		switch {
		case n.down:
		case n.paused():
			n.inbox = append(n.inbox, m)
		default:
			n.step(machine.Received{From: m.from, Message: m.msg})
		}
	}
	for _, n := range w.nodes {
		if !n.down && !n.paused() {
			n.run()
		}
	}
	w.checkInForce()
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
	if e := n.encoding; e != nil && n.w.rng.IntN(10) == 0 {
		n.encoding = nil
		data, err := codec.EncodeSnapshot(e.State)
		n.step(machine.SnapshotEncoded{Index: e.Index, Data: data, Err: err})
	}
	if !n.m.NextWake().After(n.local()) {
		n.step(machine.Wake{})
	}
}

// store makes one batch durable.
func (n *node) store(p consensus.Persist) {
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

// order asks for a change of the engine's role.
func (n *node) order() {
	n.nextID++
	role := []fleet.Role{fleet.Mixed, fleet.Prefill, fleet.Decode}[n.w.rng.IntN(3)]
	n.step(machine.Submit{ID: n.nextID, Command: replicated.RecordOrder{RecordOrder: authority.RecordOrder{
		Server: engineID, Action: authority.Action{Kind: authority.ChangeRole, Role: role},
	}}})
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
	t := machine.Traffic{InFlight: n.streams, ViewTerm: n.view.Term, ViewSeq: n.view.Seq}
	if n.streams > 0 {
		t.Loads = []fleet.OwnLoad{{Server: engineID, Running: n.streams}}
	}
	n.step(t)
}

// announce is the engine's own word, with its true load.
func (w *world) announce() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if n.down || n.paused() {
		return
	}
	n.step(machine.Announced{Server: fleet.Server{
		ID: engineID, Incarnation: 1, Address: "http://engine", Targets: []string{"assistant"}, Slots: 8,
		Role: w.engine.role, Load: fleet.Load{Running: w.streams()},
	}})
}
