package wal

import (
	"testing"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/storage/record"
)

// FuzzSegment replays arbitrary bytes as the last segment: they are refused as
// corrupt or give a log without gaps.
func FuzzSegment(f *testing.F) {
	first := segment{number: 1}
	start := appendStart([]byte(magic), first, true, consensus.HardState{}, 1)
	l := &Log{batch: 2, ends: positions{{}}}
	whole := l.encode(start, Batch{Parts: []Part{
		{Entries: []consensus.Entry{{Term: 1, Index: 1}, {Term: 1, Index: 2, Data: []byte("data")}}},
		{Truncate: true, TruncateAfter: 1, Entries: []consensus.Entry{{Term: 2, Index: 2}}},
	}})
	f.Add(start)
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := &replay{}
		s := first
		end, err := r.segment(&s, "segment", data, true)
		if err != nil {
			if fault.KindOf(err) != fault.Corrupt {
				t.Fatalf("kind of %v", err)
			}
			return
		}
		if torn := r.found.Torn; end < len(data) && (torn == nil || torn.Offset != int64(end)) {
			t.Fatalf("%d of %d bytes used, torn %+v", end, len(data), torn)
		}
		at := r.found.Base
		for _, e := range r.found.Entries {
			if e.Index != at.Index+1 {
				t.Fatalf("entry %d after %d", e.Index, at.Index)
			}
			at = record.Position{Index: e.Index, Term: e.Term}
		}
	})
}
