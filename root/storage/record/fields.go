package record

import (
	"encoding/binary"

	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
)

// Position identifies a log entry by its index and term.
type Position struct {
	Index, Term uint64
}

// AppendPosition appends the encoding of a position to b.
func AppendPosition(b []byte, p Position) []byte {
	return binary.AppendUvarint(binary.AppendUvarint(b, p.Index), p.Term)
}

// AppendHardState appends the encoding of a hard state to b.
func AppendHardState(b []byte, h consensus.HardState) []byte {
	return appendString(binary.AppendUvarint(b, h.Term), string(h.Vote))
}

// AppendEntry appends the encoding of a log entry to b.
func AppendEntry(b []byte, e consensus.Entry) []byte {
	b = AppendPosition(b, Position{Index: e.Index, Term: e.Term})
	b = append(b, byte(e.Kind))
	if e.Kind == consensus.EntryMembers {
		b = appendMembers(b, e.Members)
	}
	return appendString(b, string(e.Data))
}

// AppendSnapshot appends the encoding of a snapshot to b.
func AppendSnapshot(b []byte, s consensus.Snapshot) []byte {
	b = AppendPosition(b, Position{Index: s.Index, Term: s.Term})
	b = appendMembers(b, s.Members)
	return appendString(b, string(s.Data))
}

func appendMembers(b []byte, m consensus.Members) []byte {
	for _, group := range [][]consensus.ReplicaID{m.Voters, m.Learners} {
		b = binary.AppendUvarint(b, uint64(len(group)))
		for _, id := range group {
			b = appendString(b, string(id))
		}
	}
	return b
}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// Reader decodes the fields of a payload in sequence. After a malformed field, later
// reads return zero values and Done reports false.
type Reader struct {
	rest      []byte
	malformed bool
}

// NewReader returns a Reader of payload.
func NewReader(payload []byte) *Reader { return &Reader{rest: payload} }

// Done reports whether every field read was well formed and the whole payload was read.
func (r *Reader) Done() bool { return !r.malformed && len(r.rest) == 0 }

// Position reads a position.
func (r *Reader) Position() Position {
	return Position{Index: r.uvarint(), Term: r.uvarint()}
}

// Bool reads a boolean, encoded as one byte that is 0 or 1.
func (r *Reader) Bool() bool {
	b := r.byte()
	r.malformed = r.malformed || b > 1
	return b == 1
}

// HardState reads a hard state.
func (r *Reader) HardState() consensus.HardState {
	return consensus.HardState{Term: r.uvarint(), Vote: consensus.ReplicaID(r.bytes())}
}

// Entry reads a log entry. Its data aliases the payload.
func (r *Reader) Entry() consensus.Entry {
	at := r.Position()
	e := consensus.Entry{Index: at.Index, Term: at.Term, Kind: consensus.EntryKind(r.byte())}
	if e.Kind > consensus.EntryMembers {
		r.malformed = true
	}
	if e.Kind == consensus.EntryMembers {
		e.Members = r.members()
	}
	e.Data = r.bytes()
	return e
}

// Snapshot reads a snapshot. Its data aliases the payload.
func (r *Reader) Snapshot() consensus.Snapshot {
	at := r.Position()
	return consensus.Snapshot{Index: at.Index, Term: at.Term, Members: r.members(), Data: r.bytes()}
}

func (r *Reader) members() consensus.Members {
	return consensus.Members{Voters: r.replicaIDs(), Learners: r.replicaIDs()}
}

func (r *Reader) replicaIDs() []consensus.ReplicaID {
	n := r.uvarint()
	if n > uint64(len(r.rest)) {
		r.malformed = true
		return nil
	}
	var replicaIDs []consensus.ReplicaID
	for range n {
		replicaIDs = append(replicaIDs, consensus.ReplicaID(r.bytes()))
	}
	return replicaIDs
}

func (r *Reader) byte() byte {
	if r.malformed || len(r.rest) == 0 {
		r.malformed = true
		return 0
	}
	b := r.rest[0]
	r.rest = r.rest[1:]
	return b
}

func (r *Reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if r.malformed || n <= 0 {
		r.malformed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

// bytes reads a length and that many bytes. It returns nil if the length is 0.
func (r *Reader) bytes() []byte {
	n := r.uvarint()
	if r.malformed || n > uint64(len(r.rest)) {
		r.malformed = true
		return nil
	}
	if n == 0 {
		return nil
	}
	b := r.rest[:n:n]
	r.rest = r.rest[n:]
	return b
}
