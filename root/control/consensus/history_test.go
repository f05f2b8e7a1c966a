package consensus

import (
	"encoding/binary"
	"time"

	"pgregory.net/rapid"
)

// history holds what was seen of the cluster, and the invariants over it.
type history struct {
	leaders   map[uint64]NodeID
	appended  map[position]uint64
	committed map[uint64]committedEntry
	highest   uint64
	lastTerm  uint64
}

type position struct{ term, index uint64 }

type committedEntry struct {
	term uint64
	// state is the replicated state after the entry.
	state uint64
	// seenIn is the term of the replica that first showed it as committed.
	seenIn uint64
}

func newHistory() history {
	return history{
		leaders:   map[uint64]NodeID{},
		appended:  map[position]uint64{},
		committed: map[uint64]committedEntry{},
	}
}

// append checks log matching: a term and an index name one entry.
func (h *history) append(t *rapid.T, n *node, entries []Entry) {
	for _, e := range entries {
		at := position{e.Term, e.Index}
		sum := hashOf(0, e)
		if before, ok := h.appended[at]; ok && before != sum {
			t.Fatalf("log matching: %s has another entry at %+v", n.id, at)
		}
		h.appended[at] = sum
	}
}

// commit checks state machine safety: all replicas apply the same entries.
func (h *history) commit(t *rapid.T, n *node, e Entry) {
	first, ok := h.committed[e.Index]
	if !ok {
		h.committed[e.Index] = committedEntry{term: e.Term, state: n.state, seenIn: n.core.term}
		h.highest = max(h.highest, e.Index)
		return
	}
	if first.term != e.Term || first.state != n.state {
		t.Fatalf("committed entries differ: %s applies %d of term %d, first seen of term %d", n.id, e.Index, e.Term, first.term)
	}
}

func (h *history) restore(t *rapid.T, n *node, s *Snapshot) {
	first, ok := h.committed[s.Index]
	if !ok || first.state != binary.LittleEndian.Uint64(s.Data) {
		t.Fatalf("committed entries differ: %s restores snapshot %d of term %d", n.id, s.Index, s.Term)
	}
}

// check holds after every step: one leader a term, leaders complete, one lease.
func (h *history) check(t *rapid.T, nodes []*node, now time.Duration) {
	var holder NodeID
	for _, n := range nodes {
		if !n.leads() {
			continue
		}
		h.checkLeader(t, n)
		if until := n.core.leaseUntil(); until == 0 || !n.local(now).Before(n.core.epoch.Add(until)) {
			continue
		}
		if holder != "" {
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
		if e.seenIn >= term || index <= n.core.log.base {
			continue
		}
		if at, ok := n.core.log.term(index); !ok || at != e.term {
			t.Fatalf("leader completeness: %s of term %d lacks entry %d", n.id, term, index)
		}
	}
}
