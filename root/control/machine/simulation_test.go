package machine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// simulation runs a few machines on a virtual clock with a network that drops,
// duplicates and delays messages, disks that lose unsynced writes, pauses and clock
// drift.
type simulation struct {
	rng          *rand.Rand
	now          time.Time
	nodes        []*node
	engine       *fakeEngine
	packets      []packet
	disabledRule machine.SafetyRule
	// open enables open membership and optional leases, as package root does if the
	// settings configure discovery.
	open bool
	// blocked holds the directed links that drop everything.
	blocked map[[2]string]bool
	// acceptedVersion is the highest table version answered as applied everywhere.
	acceptedVersion uint64
	changeByBase    map[uint64]string
	acceptedChanges int
	issuedOrders    int
	executedOrders  int
	violation       string
	// lossless keeps the network from losing and duplicating messages.
	lossless bool
	// dropGrants makes the network lose all Grants.
	dropGrants bool
	// dropRenewsOf is a node whose Renews the network loses, if it is set.
	dropRenewsOf *node
	// onAnswer is called for every answer if it is set.
	onAnswer func(*node, machine.Answer)
	// onContact is called for every LeaderLost and LeaderFound if it is set.
	onContact func(*node, machine.Effect)
	// onSend is called for every message if it is set.
	onSend func(from, to string, msg machine.Message)
}

type packet struct {
	at       time.Time
	from, to string
	msg      machine.Message
}

const (
	replicas       = 3
	entryOnlyNodes = 2
	maxDrift       = 0.01
	stepTime       = 5 * time.Millisecond
	engineID       = "engine-1"
	maxNetDelay    = 8 * time.Millisecond
	maxSyncDelay   = 6 * time.Millisecond
)

func newSimulation(seed uint64, disabled machine.SafetyRule) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), disabledRule: disabled,
		changeByBase: map[uint64]string{}, blocked: map[[2]string]bool{}, engine: &fakeEngine{},
	}
	for i := range replicas + entryOnlyNodes {
		sim.addNode(i < replicas)
	}
	for _, n := range sim.nodes {
		n.start()
	}
	return sim
}

// addNode adds a node without starting it. Bootstrap nodes are replicas with their
// initial identity. The clock rates of two nodes differ by at most maxDrift.
func (sim *simulation) addNode(bootstrap bool) *node {
	id := fmt.Sprintf("vm-%d", len(sim.nodes)+1)
	n := &node{sim: sim, id: id, replica: bootstrap, namedInSettings: bootstrap, bootstrapped: bootstrap, clockRate: 1 + (sim.rng.Float64()-0.5)*maxDrift}
	if bootstrap {
		n.identity = consensus.ReplicaID(id + "/first")
	}
	sim.nodes = append(sim.nodes, n)
	return n
}

// checkAppliedVersions checks that no node that may start work has a table older
// than acceptedVersion.
func (sim *simulation) checkAppliedVersions() {
	for _, n := range sim.nodes {
		if n.ready() && n.view.Table.Version < sim.acceptedVersion {
			sim.fail("%s may start work with table version %d, but version %d was answered as applied", n.id, n.view.Table.Version, sim.acceptedVersion)
		}
	}
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

func (sim *simulation) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(limit)) + 1)
}

func (sim *simulation) node(id string) *node {
	i := slices.IndexFunc(sim.nodes, func(n *node) bool { return n.id == id })
	return sim.nodes[i]
}

func (sim *simulation) send(from, to string, msg machine.Message) {
	if sim.onSend != nil {
		sim.onSend(from, to, msg)
	}
	if sim.node(from).isolated || sim.node(to).isolated || sim.blocked[[2]string{from, to}] || !sim.lossless && sim.rng.IntN(50) == 0 {
		return
	}
	if _, isGrant := msg.(machine.Grant); isGrant && sim.dropGrants {
		return
	}
	if _, isRenew := msg.(machine.Renew); isRenew && sim.dropRenewsOf == sim.node(from) {
		return
	}
	copies := 1
	if !sim.lossless && sim.rng.IntN(50) == 0 {
		copies = 2
	}
	for range copies {
		sim.packets = append(sim.packets, packet{at: sim.now.Add(sim.randomDelay(maxNetDelay)), from: from, to: to, msg: msg})
	}
}

// advance moves the clock by one step and delivers the packets that are due.
func (sim *simulation) advance() {
	sim.now = sim.now.Add(stepTime)
	due := slices.DeleteFunc(slices.Clone(sim.packets), func(m packet) bool { return m.at.After(sim.now) })
	sim.packets = slices.DeleteFunc(sim.packets, func(m packet) bool { return !m.at.After(sim.now) })
	for _, m := range due {
		n := sim.node(m.to)
		switch {
		case n.down:
		case n.paused():
			n.inbox = append(n.inbox, m)
		default:
			n.step(machine.Received{From: m.from, Message: m.msg})
		}
	}
	for _, n := range sim.nodes {
		if !n.down && !n.paused() {
			n.processDue()
		}
	}
	sim.checkAppliedVersions()
}
