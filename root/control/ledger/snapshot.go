package ledger

import (
	"iter"
	"maps"
	"slices"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Snapshot is the whole ledger at one moment. It shares memory with the ledger
// that made it and must not be changed.
type Snapshot struct {
	Limits      Limits
	LastSettled uint64
	// Closed is in order of time.
	Closed []ClosedAttempt
	// Dead holds the newest dead incarnation per entry.
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

// Records yields every record once. The order depends on the keys only.
func (s Snapshot) Records() iter.Seq[*Record] {
	return func(yield func(*Record) bool) {
		if s.records != nil {
			s.records.all(yield)
		}
	}
}

// AddRecord adds a record to a snapshot under construction, such as by a
// decoder. It returns false when the snapshot already has the key.
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

// Snapshot returns the ledger at this moment. Later operations don't affect it.
func (l *Ledger) Snapshot() Snapshot {
	return Snapshot{
		Limits:      l.limits,
		LastSettled: l.lastSettled,
		Closed:      l.closed[:len(l.closed):len(l.closed)],
		Dead:        maps.Clone(l.dead),
		records:     l.records.share(),
	}
}

// Restore returns a ledger equal to the one that made the snapshot. The error
// is of kind fault.Corrupt.
func Restore(snap Snapshot) (*Ledger, error) {
	l, err := New(snap.Limits)
	if err != nil {
		return nil, fault.Wrap(err, fault.Corrupt, part, "the limits of the snapshot are not valid")
	}
	if snap.Len() > snap.Limits.MaxKeys || len(snap.Closed) > snap.Limits.MaxClosed || len(snap.Dead) > maxDead {
		return nil, fault.New(fault.Corrupt, part, "the snapshot is larger than its bounds")
	}
	l.lastSettled = snap.LastSettled
	maps.Copy(l.dead, snap.Dead)
	for _, c := range snap.Closed {
		l.closed = append(l.closed, c)
		l.closedOutcome[c.id()] = c.Outcome
	}
	if len(l.closedOutcome) != len(l.closed) {
		return nil, fault.New(fault.Corrupt, part, "the snapshot repeats a closed attempt")
	}
	if err := l.restoreRecords(snap); err != nil {
		return nil, err
	}
	return l, nil
}

func (l *Ledger) restoreRecords(snap Snapshot) error {
	for rec := range snap.Records() {
		if err := rec.check(snap.LastSettled); err != nil {
			return err
		}
		l.records.put(rec)
		if rec.State == Open {
			l.markOpen(rec.Entry, rec.Key)
			continue
		}
		l.settled = append(l.settled, settlement{key: rec.Key, settled: rec.Settled, at: rec.SettledAt})
		if rec.Answer != nil {
			l.answerBytes += len(rec.Answer.Body)
		}
	}
	if l.answerBytes > snap.Limits.MaxTotalAnswerBytes {
		return fault.New(fault.Corrupt, part, "the answers of the snapshot are larger than their bound")
	}
	return l.orderSettled()
}

func (l *Ledger) orderSettled() error {
	slices.SortFunc(l.settled, func(a, b settlement) int {
		if a.settled < b.settled {
			return -1
		}
		return 1
	})
	for i := 1; i < len(l.settled); i++ {
		if l.settled[i].settled == l.settled[i-1].settled || l.settled[i].at < l.settled[i-1].at {
			return fault.New(fault.Corrupt, part, "the records of the snapshot are out of order")
		}
	}
	return nil
}

func (r *Record) check(lastSettled uint64) error {
	open := r.State == Open
	switch {
	case r.State >= recordStates:
		return fault.New(fault.Corrupt, part, "a record has the unknown state %d", r.State)
	case open != (r.Settled == 0) || r.Settled > lastSettled:
		return fault.New(fault.Corrupt, part, "a record is settled out of order")
	case r.Attempt == "" || open && (r.Entry == "" || r.Incarnation == 0):
		return fault.New(fault.Corrupt, part, "a record names no attempt")
	case r.Answer != nil && r.State != Finished:
		return fault.New(fault.Corrupt, part, "a record that is not finished has an answer")
	}
	return nil
}
