package wal

import (
	"testing"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/storage/record"
)

// FuzzSegment replays arbitrary bytes as the last segment. They must either be rejected
// as corrupt or yield a log of consecutive entries.
func FuzzSegment(f *testing.F) {
	first := segment{number: 1}
	header := appendHeader([]byte(magic), first, true, consensus.HardState{}, 1)
	l := &Log{batch: 2, runs: termRuns{{}}}
	complete := l.encode(header, Batch{Edits: []Edit{
		{Entries: []consensus.Entry{{Term: 1, Index: 1}, {Term: 1, Index: 2, Data: []byte("data")}}},
		{Truncate: true, TruncateAfter: 1, Entries: []consensus.Entry{{Term: 2, Index: 2}}},
	}})
	f.Add(header)
	f.Add(complete)
	f.Add(complete[:len(complete)-3])
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := &replay{}
		s := first
		end, err := r.replaySegment(&s, "segment", data, true)
		if err != nil {
			if fault.KindOf(err) != fault.Corrupt {
				t.Fatalf("error of the wrong kind: %v", err)
			}
			return
		}
		if torn := r.contents.TornTail; end < len(data) && (torn == nil || torn.Offset != int64(end)) {
			t.Fatalf("replayed %d of %d bytes, torn tail %+v", end, len(data), torn)
		}
		at := r.contents.Base
		for _, e := range r.contents.Entries {
			if e.Index != at.Index+1 {
				t.Fatalf("entry %d follows entry %d", e.Index, at.Index)
			}
			at = record.Position{Index: e.Index, Term: e.Term}
		}
	})
}
