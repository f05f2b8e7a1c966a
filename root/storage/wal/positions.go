package wal

import "github.com/wagtaildyke/wagtaildyke/root/storage/record"

// positions are the ends of the runs of entries with one term, and before them
// the base of the log. The last one is the end of the log.
type positions []record.Position

func (p positions) last() record.Position { return p[len(p)-1] }

// add extends the log by an entry.
func (p positions) add(e record.Position) positions {
	if n := len(p); n > 1 && p[n-1].Term == e.Term {
		p[n-1].Index = e.Index
		return p
	}
	return append(p, e)
}

// cut drops the entries after index and returns the new end. Below the base the
// term is unknown and 0.
func (p *positions) cut(index uint64) record.Position {
	runs := *p
	for len(runs) > 1 && runs[len(runs)-2].Index >= index {
		runs = runs[:len(runs)-1]
	}
	end := &runs[len(runs)-1]
	if len(runs) == 1 && index < end.Index {
		end.Term = 0
	}
	end.Index = min(end.Index, index)
	*p = runs
	return *end
}
