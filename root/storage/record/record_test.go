package record

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
)

var members = consensus.Members{Voters: []consensus.ReplicaID{"a", "b"}, Learners: []consensus.ReplicaID{"c"}}

// FuzzFrame checks that bytes which parse as a frame are exactly the encoding of that
// frame.
func FuzzFrame(f *testing.F) {
	f.Add(Append(nil, Frame{Kind: Entry, Last: true, Batch: 7, Payload: []byte("data")}))
	f.Add(Append(nil, Frame{Kind: HardState}))
	f.Add(make([]byte, 2*HeaderBytes))
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, size, ok := Parse(b)
		if ok && !bytes.Equal(Append(nil, frame), b[:size]) {
			t.Fatalf("encoding %+v does not yield the parsed bytes", frame)
		}
	})
}

// FuzzFields checks that an entry or snapshot decoded from arbitrary bytes is unchanged
// after it is encoded and decoded again.
func FuzzFields(f *testing.F) {
	f.Add(AppendEntry(nil, consensus.Entry{Term: 1, Index: 300, Kind: consensus.EntryCommand, Data: []byte("data")}))
	f.Add(AppendEntry(nil, consensus.Entry{Term: 1, Index: 2, Kind: consensus.EntryMembers, Members: members}))
	f.Add(AppendSnapshot(nil, consensus.Snapshot{Index: 9, Term: 3, Members: members, Data: []byte("state")}))
	// A hard state is neither an entry nor a snapshot.
	f.Add(AppendHardState(nil, consensus.HardState{Term: 4, Vote: "b"}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r := NewReader(b); true {
			e := r.Entry()
			again := NewReader(AppendEntry(nil, e)).Entry()
			if r.Done() && !reflect.DeepEqual(e, again) {
				t.Fatalf("entry %+v decoded as %+v after encoding", e, again)
			}
		}
		if r := NewReader(b); true {
			s := r.Snapshot()
			again := NewReader(AppendSnapshot(nil, s)).Snapshot()
			if r.Done() && !reflect.DeepEqual(s, again) {
				t.Fatalf("snapshot %+v decoded as %+v after encoding", s, again)
			}
		}
	})
}
