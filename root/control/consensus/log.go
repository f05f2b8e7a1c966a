package consensus

// entryLog holds the entries after base. Slices handed out are never
// overwritten: a cut limits the capacity, so that later entries go elsewhere.
type entryLog struct {
	base, baseTerm uint64
	entries        []Entry
	// written is the last index handed to the disk, durable the last reported back.
	written, durable uint64
	// cut is set when the disk must drop the entries after cutAfter.
	cut      bool
	cutAfter uint64
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index, if it is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) append(e Entry) { l.entries = append(l.entries, e) }

// between returns the entries from first to last, which must be in the log.
func (l *entryLog) between(first, last uint64) []Entry {
	from, to := first-l.base-1, last-l.base
	return l.entries[from:to:to]
}

// entryOverheadBytes is added to the data of an entry when sizes are bounded.
const entryOverheadBytes = 32

// batch returns the entries from first on, at least one and otherwise at most maxBytes.
func (l *entryLog) batch(first uint64, maxBytes int) ([]Entry, int) {
	size := 0
	last := first
	for ; last <= l.last(); last++ {
		next := len(l.entries[last-l.base-1].Data) + entryOverheadBytes
		if last > first && size+next > maxBytes {
			break
		}
		size += next
	}
	return l.between(first, last-1), size
}

// truncate drops the entries after index.
func (l *entryLog) truncate(index uint64) {
	keep := index - l.base
	l.entries = l.entries[:keep:keep]
	l.durable = min(l.durable, index)
	if l.written <= index {
		return
	}
	if !l.cut || index < l.cutAfter {
		l.cut, l.cutAfter = true, index
	}
	l.written = index
}

// compact drops the entries up to index, which were handed to the disk, from memory.
func (l *entryLog) compact(index uint64) {
	at, ok := l.term(index)
	if !ok || index <= l.base {
		return
	}
	rest := l.entries[index-l.base:]
	l.entries = append(make([]Entry, 0, len(rest)), rest...)
	l.base, l.baseTerm = index, at
}

// reset replaces the whole log by a snapshot at index.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term, written: index, cut: true, cutAfter: index}
}

// firstOfTerm returns the first index of the run of entries with the same term that ends at index.
func (l *entryLog) firstOfTerm(index uint64) uint64 {
	at, _ := l.term(index)
	for index > l.base+1 {
		if before, _ := l.term(index - 1); before != at {
			break
		}
		index--
	}
	return index
}
