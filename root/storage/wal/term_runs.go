package wal

import "github.com/wagtaildyke/wagtaildyke/root/storage/record"

// termRuns gives the term of every entry in compact form. The first element is the base
// of the log. Each further one is the last entry of a run of entries of the same term,
// so the last element is the end of the log.
type termRuns []record.Position

func (r termRuns) last() record.Position { return r[len(r)-1] }

// add appends an entry.
func (r termRuns) add(e record.Position) termRuns {
	if n := len(r); n > 1 && r[n-1].Term == e.Term {
		r[n-1].Index = e.Index
		return r
	}
	return append(r, e)
}

// truncate removes the entries after index and returns the new end of the log. If index
// is below the base, the term of the new end is unknown and set to 0.
func (r *termRuns) truncate(index uint64) record.Position {
	runs := *r
	for len(runs) > 1 && runs[len(runs)-2].Index >= index {
		runs = runs[:len(runs)-1]
	}
	end := &runs[len(runs)-1]
	if len(runs) == 1 && index < end.Index {
		end.Term = 0
	}
	end.Index = min(end.Index, index)
	*r = runs
	return *end
}
