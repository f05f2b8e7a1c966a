package consensus

import (
	"encoding/binary"
	"time"

	"pgregory.net/rapid"
)

// history records what all replicas have done and checks the invariants over it.
type history struct {
	leaders          map[uint64]ReplicaID
	appended         map[position]uint64
	committed        map[uint64]committedEntry
	highestCommitted uint64
	lastTerm         uint64
	// leasesOverlap allows two valid leases, for clocks that stand still.
	leasesOverlap bool
}

type position struct{ term, index uint64 }

type committedEntry struct {
	term uint64
	// state is the replicated state after the entry.
	state uint64
	// firstSeenTerm is the term of the first replica that returned the entry as
	// committed.
	firstSeenTerm uint64
}

func newHistory() history {
	return history{
		leaders:   map[uint64]ReplicaID{},
		appended:  map[position]uint64{},
		committed: map[uint64]committedEntry{},
	}
}

// append checks log matching: entries with the same term and index are equal.
func (h *history) append(t *rapid.T, n *node, entries []Entry) {
	for _, e := range entries {
		pos := position{e.Term, e.Index}
		sum := hashOf(0, e)
		if before, ok := h.appended[pos]; ok && before != sum {
			t.Fatalf("log matching: %s has another entry at %+v", n.id, pos)
		}
		h.appended[pos] = sum
	}
}

// commit checks state machine safety: all replicas apply the same entry at an index.
func (h *history) commit(t *rapid.T, n *node, e Entry) {
	first, ok := h.committed[e.Index]
	if !ok {
		h.committed[e.Index] = committedEntry{term: e.Term, state: n.state, firstSeenTerm: n.core.term}
		h.highestCommitted = max(h.highestCommitted, e.Index)
		return
	}
	if first.term != e.Term || first.state != n.state {
		t.Fatalf("committed entries differ: %s applies entry %d of term %d, first applied with term %d", n.id, e.Index, e.Term, first.term)
	}
}

func (h *history) restore(t *rapid.T, n *node, s *Snapshot) {
	first, ok := h.committed[s.Index]
	if !ok || first.state != binary.LittleEndian.Uint64(s.Data) {
		t.Fatalf("committed entries differ: %s restores snapshot %d of term %d", n.id, s.Index, s.Term)
	}
}

// checkLeaders checks that each term has at most one leader, that leaders have all
// committed entries, and that at most one lease is valid.
func (h *history) checkLeaders(t *rapid.T, nodes []*node, now time.Duration) {
	var holder ReplicaID
	for _, n := range nodes {
		if !n.isLeader() {
			continue
		}
		h.checkLeader(t, n)
		if until := n.core.leaseUntil(); until == 0 || !n.localTime(now).Before(n.core.startTime.Add(until)) {
			continue
		}
		if holder != "" && !h.leasesOverlap {
			t.Fatalf("two leases: %s and %s", holder, n.id)
		}
		holder = n.id
	}
}

func (h *history) checkLeader(t *rapid.T, n *node) {
	term := n.core.term
	if other, ok := h.leaders[term]; ok {
		if other != n.id {
			t.Fatalf("two leaders in term %d: %s and %s", term, other, n.id)
		}
		return
	}
	h.leaders[term] = n.id
	h.lastTerm = max(h.lastTerm, term)
	for index, e := range h.committed {
		if e.firstSeenTerm >= term || index <= n.core.log.base {
			continue
		}
		if entryTerm, ok := n.core.log.term(index); !ok || entryTerm != e.term {
			t.Fatalf("leader completeness: %s of term %d lacks entry %d", n.id, term, index)
		}
	}
}
