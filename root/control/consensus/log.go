package consensus

// entryLog holds the log entries after base in memory. Slices that it returns are
// never overwritten: truncation limits the capacity, so that a later append
// reallocates.
type entryLog struct {
	base, baseTerm uint64
	entries        []Entry
	// submitted is the last index passed to the caller in a write batch, durable the
	// last one reported as durable.
	submitted, durable uint64
	// truncated is set if the entries after truncateAfter must be removed from disk.
	truncated     bool
	truncateAfter uint64
}

func (l *entryLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index. It reports false if index is before base
// or after the last entry.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) append(e Entry) { l.entries = append(l.entries, e) }

// slice returns the entries from first to last, which must be in the log.
func (l *entryLog) slice(first, last uint64) []Entry {
	from, to := first-l.base-1, last-l.base
	return l.entries[from:to:to]
}

// entryOverheadBytes is the assumed size of an entry without its data. It bounds the
// number of empty entries in a batch.
const entryOverheadBytes = 32

// batch returns the entries starting at first, up to maxBytes but at least one, and
// their size.
func (l *entryLog) batch(first uint64, maxBytes int) ([]Entry, int) {
	size := 0
	last := first
	for ; last <= l.lastIndex(); last++ {
		next := len(l.entries[last-l.base-1].Data) + entryOverheadBytes
		if last > first && size+next > maxBytes {
			break
		}
		size += next
	}
	return l.slice(first, last-1), size
}

// truncate removes the entries after index.
func (l *entryLog) truncate(index uint64) {
	keep := index - l.base
	l.entries = l.entries[:keep:keep]
	l.durable = min(l.durable, index)
	if l.submitted <= index {
		return
	}
	if !l.truncated || index < l.truncateAfter {
		l.truncated, l.truncateAfter = true, index
	}
	l.submitted = index
}

// compact removes the entries up to index from memory. They must have been submitted
// for writing.
func (l *entryLog) compact(index uint64) {
	entryTerm, ok := l.term(index)
	if !ok || index <= l.base {
		return
	}
	rest := l.entries[index-l.base:]
	l.entries = append(make([]Entry, 0, len(rest)), rest...)
	l.base, l.baseTerm = index, entryTerm
}

// reset replaces the whole log by a snapshot at index and marks the entries on disk for
// removal.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term, submitted: index, truncated: true, truncateAfter: index}
}

// firstIndexOfTerm returns the first index in memory with the same term as index.
func (l *entryLog) firstIndexOfTerm(index uint64) uint64 {
	entryTerm, _ := l.term(index)
	for index > l.base+1 {
		if before, _ := l.term(index - 1); before != entryTerm {
			break
		}
		index--
	}
	return index
}
