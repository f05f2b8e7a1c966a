package consensus

import (
	"fmt"
	"hash/fnv"
	"time"
)

// node is a simulated replica with its own disk and clock rate.
type node struct {
	id      ReplicaID
	core    *Core // nil while stopped
	starts  uint64
	members Members
	disk    DurableState
	// logStart is the position that precedes the first log entry on disk.
	logStart position
	// unsynced holds the batches that are being written and are not durable.
	unsynced []*WriteBatch
	// paused nodes keep their state, but handle neither messages nor timers.
	paused bool
	// slowDisk makes finishAllWrites skip the node: only the finishWrite action finishes
	// its writes until heal clears the field.
	slowDisk bool
	// lost is set once the disk is lost. The node never starts again.
	lost bool
	// applied is the index of the last applied entry, state the replicated state after it.
	applied uint64
	state   uint64
	// changes are the changes of leadership since the node was added.
	changes []Change

	// The clock read clockBase at simulated time clockAt and has run at rate since.
	rate      float64
	clockBase time.Duration
	clockAt   time.Duration
}

var clockEpoch = time.Unix(0, 0)

// localTime returns the reading of the node's clock at simulated time now.
func (n *node) localTime(now time.Duration) time.Time {
	return clockEpoch.Add(n.clockBase + time.Duration(n.rate*float64(now-n.clockAt)))
}

func (n *node) setRate(now time.Duration, rate float64) {
	n.clockBase, n.clockAt = n.localTime(now).Sub(clockEpoch), now
	n.rate = rate
}

func (n *node) running() bool { return n.core != nil && !n.paused }

func (n *node) isLeader() bool { return n.core != nil && n.core.role == leader }

// restart starts the process from its disk. Like package storage, it drops a log that
// does not continue the snapshot.
func (n *node) restart(sim *simulation) {
	r := n.disk
	if s := r.Snapshot; s != nil {
		if entryTerm, ok := n.diskTerm(s.Index); !ok || entryTerm != s.Term {
			r.Entries, n.logStart = nil, position{s.Term, s.Index}
		}
	}
	n.disk = r
	n.starts++
	core, err := New(testConfig(n.id, sim.seed+n.starts), r, n.members)
	if err != nil {
		sim.t.Fatalf("restart of %s: %v", n.id, err)
	}
	sim.mutant.apply(core)
	core.retainedEntries = 2
	n.core, n.paused, n.unsynced = core, false, nil
	n.applied, n.state = 0, 0
	if r.Snapshot != nil {
		n.applied = r.Snapshot.Index
	}
	core.Tick(n.localTime(sim.now))
	if sim.mutant == voteAfterRestart {
		core.refuseVotesUntil = 0
	}
	sim.processOutput(n)
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

// write makes a batch durable, or only its snapshot if whole is false.
func (n *node) write(sim *simulation, batch *WriteBatch, whole bool) {
	if batch.Snapshot != nil {
		n.disk.Snapshot = batch.Snapshot
	}
	if !whole {
		return
	}
	if batch.HardState != nil {
		n.disk.HardState = *batch.HardState
	}
	if sim.mutant == hardStateNotWritten {
		n.disk.HardState = HardState{}
	}
	entries := n.disk.Entries
	if batch.Truncate && batch.Snapshot != nil {
		entries, n.logStart = nil, position{batch.Snapshot.Term, batch.Snapshot.Index}
	}
	for batch.Truncate && len(entries) > 0 && entries[len(entries)-1].Index > batch.TruncateAfter {
		entries = entries[:len(entries)-1]
	}
	for _, e := range batch.Entries {
		last := n.logStart.index
		if len(entries) > 0 {
			last = entries[len(entries)-1].Index
		}
		if e.Index != last+1 && sim.mutant == none {
			sim.t.Fatalf("disk of %s: entry %d after %d", n.id, e.Index, last)
		}
		entries = append(entries[:len(entries):len(entries)], e)
	}
	n.disk.Entries = entries
}

// apply applies an entry to the replicated state, which is a hash of all entries.
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

func testConfig(id ReplicaID, seed uint64) Config {
	return Config{
		ID: id, ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval,
		MaxClockDrift: clockDrift, MaxBatchBytes: 40, Seed: seed,
	}
}
