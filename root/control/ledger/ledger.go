package ledger

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Ledger is the replicated state of all idempotency keys. Its operations are
// deterministic.
type Ledger struct {
	limits  Limits
	records records
	// settled has one item for each settled record, and responses one for each record
	// with a response, oldest first.
	settled, responses []expiryItem
	lastSettledSeq     uint64
	responseBytes      int
	// closed is sorted by time; closedOutcomes indexes the same attempts.
	closed         []ClosedAttempt
	closedOutcomes map[attemptKey]OutcomeKind
	// open holds the keys of open records by entry.
	open map[string]map[KeyDigest]bool
	// dead maps an entry to its newest dead incarnation.
	dead map[string]uint64
}

// New returns an empty ledger. The error is of kind fault.Invalid.
func New(limits Limits) (*Ledger, error) {
	if err := limits.check(); err != nil {
		return nil, err
	}
	return &Ledger{
		limits:         limits,
		closedOutcomes: make(map[attemptKey]OutcomeKind),
		open:           make(map[string]map[KeyDigest]bool),
		dead:           make(map[string]uint64),
	}, nil
}

// Len returns the number of keys in the ledger.
func (l *Ledger) Len() int { return l.records.count }

// Limits returns the limits of the ledger.
func (l *Ledger) Limits() Limits { return l.limits }

// Begin decides whether an attempt may send its request. now is in Unix
// milliseconds and must not run backwards. An error means that nothing was
// recorded. Its kind is fault.Invalid, fault.Overloaded when the ledger is full,
// or fault.Fenced when the entry's process is known to be dead.
func (l *Ledger) Begin(b Begin, now int64) (Outcome, *fault.Error) {
	if err := b.check(now); err != nil {
		return Outcome{}, err
	}
	key := b.Key.Digest()
	rec := l.records.get(key)
	closed, isClosed := l.closedOutcomes[attemptKey{key, b.Attempt}]
	if isClosed && closed != InProgress {
		return Outcome{Kind: closed}, nil
	}
	if rec != nil && rec.State != Cancelled {
		return l.beginExisting(rec, b, now), nil
	}
	if isClosed {
		return Outcome{Kind: InProgress}, nil
	}
	if rec != nil && rec.RequestDigest != b.RequestDigest {
		return Outcome{Kind: KeyReused}, nil
	}
	return l.openRecord(key, b, now)
}

// beginExisting returns the outcome of a Begin for a key whose record isn't
// Cancelled. An attempt that finds another one open is closed: its entry gives up
// on it, and a redelivered Begin must not start it later.
func (l *Ledger) beginExisting(rec *Record, b Begin, now int64) Outcome {
	if rec.RequestDigest != b.RequestDigest {
		return Outcome{Kind: KeyReused}
	}
	if rec.State == Open && rec.Attempt == b.Attempt {
		return Outcome{Kind: Started}
	}
	if rec.State == Open {
		l.closeAttempt(ClosedAttempt{Key: rec.Key, Attempt: b.Attempt, Outcome: InProgress, At: now})
	}
	return l.outcomeOf(rec, now)
}

func (l *Ledger) outcomeOf(rec *Record, now int64) Outcome {
	switch rec.State {
	case Open:
		return Outcome{Kind: InProgress, Entry: rec.Entry, Incarnation: rec.Incarnation, Attempt: rec.Attempt}
	case Finished:
		if rec.Response == nil || expired(rec.SettledAt, now, l.limits.ResponseRetention) {
			return Outcome{Kind: Unreplayable}
		}
		return Outcome{Kind: Recorded, Response: *rec.Response}
	case Cancelled:
		return Outcome{Kind: NotRun}
	default:
		return Outcome{Kind: Unknown}
	}
}

// openRecord opens a record for the first attempt, or for the first one after
// cancelled attempts.
func (l *Ledger) openRecord(key KeyDigest, b Begin, now int64) (Outcome, *fault.Error) {
	created, ok := uuidv7Time(b.Key.ID)
	if ok && expired(created, now, l.limits.KeyRetention) {
		return Outcome{Kind: KeyExpired}, nil
	}
	if b.Incarnation <= l.dead[b.Entry] {
		return Outcome{}, fault.New(fault.Fenced, part, "the process of %q is known to be dead", b.Entry)
	}
	cancelled := l.records.get(key)
	if cancelled == nil && l.records.count >= l.limits.MaxKeys {
		return Outcome{}, fault.New(fault.Overloaded, part, "limit of %d idempotency keys reached", l.limits.MaxKeys)
	}
	if cancelled != nil {
		l.removeSettled(cancelled)
	}
	l.records.put(&Record{
		Key:           key,
		RequestDigest: b.RequestDigest,
		GeneratedKey:  b.GeneratedKey,
		Attempt:       b.Attempt,
		Entry:         b.Entry,
		Incarnation:   b.Incarnation,
	})
	l.addOpenKey(b.Entry, key)
	return Outcome{Kind: Started}, nil
}

func (l *Ledger) addOpenKey(entry string, key KeyDigest) {
	if l.open[entry] == nil {
		l.open[entry] = make(map[KeyDigest]bool)
	}
	l.open[entry][key] = true
}

func (l *Ledger) removeOpenKey(entry string, key KeyDigest) {
	delete(l.open[entry], key)
	if len(l.open[entry]) == 0 {
		delete(l.open, entry)
	}
}

// expired reports whether more time than the retention has passed since a time
// in Unix milliseconds.
func expired(since, now int64, retention time.Duration) bool {
	return now-since > retention.Milliseconds()
}
