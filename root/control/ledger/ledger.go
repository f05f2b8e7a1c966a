package ledger

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Ledger is the state. All its operations are deterministic.
type Ledger struct {
	limits  Limits
	records records
	// settled is the queue of settled records, oldest first. Its first
	// answersDropped entries have no answer any more.
	settled        []settlement
	answersDropped int
	lastSettled    uint64
	answerBytes    int
	// closed is in order of time; closedOutcome holds the same attempts.
	closed        []ClosedAttempt
	closedOutcome map[attemptID]OutcomeKind
	// open holds the keys of open records by entry.
	open map[string]map[KeyDigest]bool
	// dead holds the newest dead incarnation per entry.
	dead map[string]uint64
}

// New returns an empty ledger. The error is of kind fault.Invalid.
func New(limits Limits) (*Ledger, error) {
	if err := limits.check(); err != nil {
		return nil, err
	}
	return &Ledger{
		limits:        limits,
		closedOutcome: make(map[attemptID]OutcomeKind),
		open:          make(map[string]map[KeyDigest]bool),
		dead:          make(map[string]uint64),
	}, nil
}

// Len returns the number of keys kept.
func (l *Ledger) Len() int { return l.records.count }

// Limits returns what bounds the ledger.
func (l *Ledger) Limits() Limits { return l.limits }

// Begin decides whether an attempt may send. now is Unix milliseconds and never
// runs backwards. An error means that nothing was recorded: its kind is
// fault.Invalid, fault.Overloaded when the ledger is full, or fault.Fenced when
// the entry's process is known to be dead.
func (l *Ledger) Begin(b Begin, now int64) (Outcome, *fault.Error) {
	if err := b.check(now); err != nil {
		return Outcome{}, err
	}
	key := b.Key.Digest()
	rec := l.records.get(key)
	closed, isClosed := l.closedOutcome[attemptID{key, b.Attempt}]
	if isClosed && closed != InProgress {
		return Outcome{Kind: closed}, nil
	}
	if rec != nil && rec.State != Cancelled {
		return l.beginAgain(rec, b, now), nil
	}
	if isClosed {
		return Outcome{Kind: InProgress}, nil
	}
	if rec != nil && rec.Digest != b.Digest {
		return Outcome{Kind: KeyReused}, nil
	}
	return l.start(key, b, now)
}

// beginAgain answers a Begin for a key whose work has an attempt already. An
// attempt that finds another one open is closed: its entry has given up by the
// time when a repeated delivery of the Begin would start it.
func (l *Ledger) beginAgain(rec *Record, b Begin, now int64) Outcome {
	if rec.Digest != b.Digest {
		return Outcome{Kind: KeyReused}
	}
	if rec.State == Open && rec.Attempt == b.Attempt {
		return Outcome{Kind: Started}
	}
	if rec.State == Open {
		l.close(ClosedAttempt{Key: rec.Key, Attempt: b.Attempt, Outcome: InProgress, At: now})
	}
	return l.outcomeOf(rec, now)
}

func (l *Ledger) outcomeOf(rec *Record, now int64) Outcome {
	switch rec.State {
	case Open:
		return Outcome{Kind: InProgress, Entry: rec.Entry, Incarnation: rec.Incarnation, Attempt: rec.Attempt}
	case Finished:
		if rec.Answer == nil || expired(rec.SettledAt, now, l.limits.AnswerRetention) {
			return Outcome{Kind: Unreplayable}
		}
		return Outcome{Kind: Recorded, Answer: *rec.Answer}
	case Cancelled:
		return Outcome{Kind: NotRun}
	default:
		return Outcome{Kind: Unknown}
	}
}

// start opens a record for the first attempt, or the first after cancelled ones.
func (l *Ledger) start(key KeyDigest, b Begin, now int64) (Outcome, *fault.Error) {
	made, timed := keyTime(b.Key.ID)
	if timed && expired(made, now, l.limits.KeyRetention) {
		return Outcome{Kind: KeyExpired}, nil
	}
	if b.Incarnation <= l.dead[b.Entry] {
		return Outcome{}, fault.New(fault.Fenced, part, "the process of %s is known to be dead", b.Entry)
	}
	if l.records.get(key) == nil && l.records.count >= l.limits.MaxKeys {
		return Outcome{}, fault.New(fault.Overloaded, part, "the ledger holds %d keys, its bound", l.records.count)
	}
	l.records.put(&Record{
		Key:         key,
		Digest:      b.Digest,
		Private:     b.Private,
		Attempt:     b.Attempt,
		Entry:       b.Entry,
		Incarnation: b.Incarnation,
	})
	l.markOpen(b.Entry, key)
	return Outcome{Kind: Started}, nil
}

func (l *Ledger) markOpen(entry string, key KeyDigest) {
	if l.open[entry] == nil {
		l.open[entry] = make(map[KeyDigest]bool)
	}
	l.open[entry][key] = true
}

func (l *Ledger) clearOpen(entry string, key KeyDigest) {
	delete(l.open[entry], key)
	if len(l.open[entry]) == 0 {
		delete(l.open, entry)
	}
}

// expired reports whether the retention has passed since a time in Unix
// milliseconds.
func expired(since, now int64, retention time.Duration) bool {
	return now-since > retention.Milliseconds()
}
