package consensus

import (
	"fmt"
	"hash/fnv"
	"time"
)

// node is one replica identity with a fake disk and a clock of its own rate.
type node struct {
	id      NodeID
	core    *Core // nil while stopped
	starts  uint64
	members Members
	disk    Restored
	// logStart is the position before the first entry on the disk.
	logStart position
	// writing are the batches handed to the disk and not durable yet.
	writing []*Persist
	paused  bool
	// slowDisk makes writes wait until one is drawn.
	slowDisk bool
	lost     bool
	applied  uint64
	state    uint64

	rate      float64
	clockBase time.Duration
	clockAt   time.Duration
}

var clockEpoch = time.Unix(0, 0)

// local returns the node's clock at true time now.
func (n *node) local(now time.Duration) time.Time {
	return clockEpoch.Add(n.clockBase + time.Duration(n.rate*float64(now-n.clockAt)))
}

func (n *node) setRate(now time.Duration, rate float64) {
	n.clockBase, n.clockAt = n.local(now).Sub(clockEpoch), now
	n.rate = rate
}

func (n *node) running() bool { return n.core != nil && !n.paused }

func (n *node) leads() bool { return n.core != nil && n.core.role == leader }

// start opens the disk as storage does: a log that doesn't continue the snapshot is dropped.
func (n *node) start(w *world) {
	r := n.disk
	if s := r.Snapshot; s != nil {
		if at, ok := n.diskTerm(s.Index); !ok || at != s.Term {
			r.Entries, n.logStart = nil, position{s.Term, s.Index}
		}
	}
	n.disk = r
	n.starts++
	core, err := New(testConfig(n.id, w.seed+n.starts), r, n.members)
	if err != nil {
		w.t.Fatalf("restart of %s: %v", n.id, err)
	}
	w.mutant.weaken(core)
	core.retain = 2
	n.core, n.paused, n.writing = core, false, nil
	n.applied, n.state = 0, 0
	if r.Snapshot != nil {
		n.applied = r.Snapshot.Index
	}
	core.Tick(n.local(w.now))
	if w.mutant == forgottenPromise {
		core.refuseVotesUntil = 0
	}
	w.drain(n)
}

func (n *node) diskTerm(index uint64) (uint64, bool) {
	if index == n.logStart.index {
		return n.logStart.term, true
	}
	for _, e := range n.disk.Entries {
		if e.Index == index {
			return e.Term, true
		}
	}
	return 0, false
}

// write makes a batch durable; whole is false when only its snapshot got there.
func (n *node) write(w *world, p *Persist, whole bool) {
	if p.Snapshot != nil {
		n.disk.Snapshot = p.Snapshot
	}
	if !whole {
		return
	}
	if p.HardState != nil {
		n.disk.HardState = *p.HardState
	}
	if w.mutant == hardStateNotWritten {
		n.disk.HardState = HardState{}
	}
	entries := n.disk.Entries
	if p.Truncate && p.Snapshot != nil {
		entries, n.logStart = nil, position{p.Snapshot.Term, p.Snapshot.Index}
	}
	for p.Truncate && len(entries) > 0 && entries[len(entries)-1].Index > p.TruncateAfter {
		entries = entries[:len(entries)-1]
	}
	for _, e := range p.Entries {
		if len(entries) > 0 && e.Index != entries[len(entries)-1].Index+1 && w.mutant == none {
			w.t.Fatalf("disk of %s: entry %d after %d", n.id, e.Index, entries[len(entries)-1].Index)
		}
		entries = append(entries[:len(entries):len(entries)], e)
	}
	n.disk.Entries = entries
}

// apply adds an entry to the replicated state, a hash over all entries.
func (n *node) apply(e Entry) {
	n.applied = e.Index
	n.state = hashOf(n.state, e)
}

func hashOf(state uint64, e Entry) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, state, e.Term, e.Index, e.Kind, e.Data, e.Members)
	return h.Sum64()
}

const (
	electionTimeout   = 1000 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	clockDrift        = 0.2
)

func testConfig(id NodeID, seed uint64) Config {
	return Config{
		ID: id, ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval,
		MaxClockDrift: clockDrift, MaxBatchBytes: 40, Seed: seed,
	}
}
