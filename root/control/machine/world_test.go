package machine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
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
	// open lets replicas take part that the settings don't name.
	open bool
	// cut holds directed links that lose everything.
	cut map[[2]string]bool
	// accepted is the highest version answered as in force everywhere.
	accepted uint64
	winners  map[uint64]string
	changes  int
	orders   int
	settled  int
	problem  string
	// answers is told of every answer; nil for nobody.
	answers func(*node, machine.Answer)
}

type mail struct {
	at       time.Time
	from, to string
	msg      machine.Message
}

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
		w.addNode(i < replicas)
	}
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

// addNode adds a node that is not started; founders are replicas with their first
// identity.
func (w *world) addNode(founds bool) *node {
	id := fmt.Sprintf("vm-%d", len(w.nodes)+1)
	n := &node{w: w, id: id, replica: founds, seed: founds, founder: founds, rate: 1 + (w.rng.Float64()-0.5)*maxDrift}
	if founds {
		n.identity = consensus.NodeID(id + "/first")
	}
	w.nodes = append(w.nodes, n)
	return n
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
