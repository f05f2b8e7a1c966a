package ledger

import (
	"iter"
	"maps"
	"slices"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Snapshot is a point-in-time copy of a ledger. It shares memory with the ledger
// and must not be modified.
type Snapshot struct {
	Limits Limits
	// LastSettledSeq is the highest SettledSeq assigned so far.
	LastSettledSeq uint64
	// Closed is sorted by time.
	Closed []ClosedAttempt
	// Dead maps an entry to its newest dead incarnation.
	Dead    map[string]uint64
	records *records
}

// Len returns the number of records.
func (s Snapshot) Len() int {
	if s.records == nil {
		return 0
	}
	return s.records.count
}

// Records yields each record, in an order that depends on the keys only.
func (s Snapshot) Records() iter.Seq[*Record] {
	return func(yield func(*Record) bool) {
		if s.records != nil {
			s.records.all(yield)
		}
	}
}

// AddRecord adds a record to a snapshot that is being decoded. It returns false
// if the snapshot already has a record of the key.
func (s *Snapshot) AddRecord(r *Record) bool {
	if s.records == nil {
		s.records = new(records)
	}
	if s.records.get(r.Key) != nil {
		return false
	}
	s.records.put(r)
	return true
}

// Snapshot returns a copy of the current state. Later operations don't affect
// it.
func (l *Ledger) Snapshot() Snapshot {
	return Snapshot{
		Limits:         l.limits,
		LastSettledSeq: l.lastSettledSeq,
		Closed:         l.closed[:len(l.closed):len(l.closed)],
		Dead:           maps.Clone(l.dead),
		records:        l.records.readOnlyCopy(),
	}
}

// Restore rebuilds a ledger from a snapshot. The error is of kind fault.Corrupt.
func Restore(snap Snapshot) (*Ledger, error) {
	l, err := New(snap.Limits)
	if err != nil {
		return nil, fault.Wrap(err, fault.Corrupt, part, "invalid limits in the snapshot")
	}
	if snap.Len() > snap.Limits.MaxKeys || len(snap.Closed) > snap.Limits.MaxClosed || len(snap.Dead) > maxDeadVMs {
		return nil, fault.New(fault.Corrupt, part, "the snapshot exceeds the limits on keys, closed attempts or dead VMs")
	}
	l.lastSettledSeq = snap.LastSettledSeq
	maps.Copy(l.dead, snap.Dead)
	for _, c := range snap.Closed {
		l.closed = append(l.closed, c)
		l.closedOutcomes[c.attemptKey()] = c.Outcome
	}
	if len(l.closedOutcomes) != len(l.closed) {
		return nil, fault.New(fault.Corrupt, part, "duplicate closed attempt in the snapshot")
	}
	if err := l.restoreRecords(snap); err != nil {
		return nil, err
	}
	return l, nil
}

func (l *Ledger) restoreRecords(snap Snapshot) error {
	for rec := range snap.Records() {
		if err := rec.check(snap.LastSettledSeq); err != nil {
			return err
		}
		l.records.put(rec)
		if rec.State == Open {
			l.addOpenKey(rec.Entry, rec.Key)
			continue
		}
		l.settled = append(l.settled, expiryItem{key: rec.Key, seq: rec.SettledSeq, at: rec.SettledAt})
		if rec.Response != nil {
			l.responseBytes += len(rec.Response.Body)
		}
	}
	if l.responseBytes > snap.Limits.MaxTotalResponseBytes {
		return fault.New(fault.Corrupt, part, "the responses in the snapshot exceed their limit")
	}
	return l.sortSettled()
}

// sortSettled sorts the expiry queue by settlement, checks that the sequence numbers are
// unique and the times don't decrease, and rebuilds the queue of responses.
func (l *Ledger) sortSettled() error {
	slices.SortFunc(l.settled, func(a, b expiryItem) int {
		if a.seq < b.seq {
			return -1
		}
		return 1
	})
	for i := 1; i < len(l.settled); i++ {
		if l.settled[i].seq == l.settled[i-1].seq || l.settled[i].at < l.settled[i-1].at {
			return fault.New(fault.Corrupt, part, "sequence numbers and times of the records in the snapshot contradict each other")
		}
	}
	for _, item := range l.settled {
		if l.records.get(item.key).Response != nil {
			l.responses = append(l.responses, item)
		}
	}
	return nil
}

func (r *Record) check(lastSettled uint64) error {
	open := r.State == Open
	switch {
	case r.State >= numRecordStates:
		return fault.New(fault.Corrupt, part, "a record has unknown state %d", r.State)
	case open != (r.SettledSeq == 0) || r.SettledSeq > lastSettled:
		return fault.New(fault.Corrupt, part, "a record has an invalid settlement sequence number")
	case r.Attempt == "" || open && (r.Entry == "" || r.Incarnation == 0):
		return fault.New(fault.Corrupt, part, "a record has no attempt, or an open record has no entry or incarnation")
	case r.Response != nil && r.State != Finished:
		return fault.New(fault.Corrupt, part, "an unfinished record has a response")
	}
	return nil
}
