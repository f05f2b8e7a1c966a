package ledger

import (
	"slices"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Finish settles the open attempt of a key. A repeated Finish returns the
// outcome of the first one, or Unreplayable once its response has expired. For a
// generated key, whose response is not kept, it does so for ClosedRetention and fails
// after that. An error leaves the ledger unchanged. Its kind is fault.Invalid,
// fault.NotFound for a key without a record, or fault.Conflict for an attempt other
// than that of the record.
func (l *Ledger) Finish(f Finish, now int64) (Outcome, *fault.Error) {
	if err := f.check(); err != nil {
		return Outcome{}, err
	}
	key := f.Key.Digest()
	rec := l.records.get(key)
	if closed, ok := l.closedOutcomes[attemptKey{key, f.Attempt}]; rec == nil && ok && closed != InProgress {
		return Outcome{Kind: closed}, nil
	}
	if rec == nil {
		return Outcome{}, fault.New(fault.NotFound, part, "no record for the idempotency key").WithRan(fault.RanUnknown)
	}
	if rec.Attempt != f.Attempt {
		return Outcome{}, fault.New(fault.Conflict, part, "the record belongs to another attempt").WithRan(fault.RanUnknown)
	}
	if rec.State != Open {
		return l.outcomeOf(rec, now), nil
	}
	if f.Unknown {
		l.settle(rec, OutcomeUnknown, nil, now)
		return Outcome{Kind: Unknown}, nil
	}
	response := l.retainResponse(f.Response)
	l.settle(rec, Finished, response, now)
	if response == nil {
		return Outcome{Kind: Unreplayable}, nil
	}
	return Outcome{Kind: Recorded, Response: *response}, nil
}

// retainResponse returns a copy of the response to record, or nil if it is omitted
// or exceeds a limit.
func (l *Ledger) retainResponse(r Response) *Response {
	size := len(r.Body)
	if r.Omitted || len(r.ContentType) > MaxContentTypeBytes {
		return nil
	}
	if size > l.limits.MaxResponseBytes || l.responseBytes+size > l.limits.MaxTotalResponseBytes {
		return nil
	}
	r.Body = slices.Clone(r.Body)
	return &r
}

// Cancel records that an attempt never sent its request and won't. The attempt
// is kept as closed for ClosedRetention, so that a delayed Begin can't start it.
// An error leaves the ledger unchanged. Its kind is fault.Invalid, or
// fault.Conflict if the attempt has finished.
func (l *Ledger) Cancel(c Cancel, now int64) (Outcome, *fault.Error) {
	if err := c.check(); err != nil {
		return Outcome{}, err
	}
	key := c.Key.Digest()
	if closed, ok := l.closedOutcomes[attemptKey{key, c.Attempt}]; ok {
		return cancelSettled(closed)
	}
	rec := l.records.get(key)
	if rec != nil && rec.Attempt == c.Attempt {
		switch rec.State {
		case Finished:
			return cancelSettled(Unreplayable)
		case OutcomeUnknown:
			return Outcome{Kind: Unknown}, nil
		case Open:
			l.settle(rec, Cancelled, nil, now)
		}
	}
	l.closeAttempt(ClosedAttempt{Key: key, Attempt: c.Attempt, Outcome: NotRun, At: now})
	return Outcome{Kind: NotRun}, nil
}

// cancelSettled returns the outcome of cancelling an attempt that was already closed
// or finished with the given outcome.
func cancelSettled(outcome OutcomeKind) (Outcome, *fault.Error) {
	switch outcome {
	case InProgress:
		return Outcome{Kind: NotRun}, nil
	case Unreplayable:
		return Outcome{}, fault.New(fault.Conflict, part, "the attempt has finished").WithRan(fault.RanYes)
	}
	return Outcome{Kind: outcome}, nil
}

// Abandon settles as OutcomeUnknown every open record that the given or an earlier
// incarnation of the entry began, and returns the number of these records. These
// processes can't begin attempts any more. An error leaves the ledger unchanged;
// its kind is fault.Invalid or fault.Overloaded.
func (l *Ledger) Abandon(a Abandon, now int64) (int, *fault.Error) {
	if err := l.CheckAbandon(a); err != nil {
		return 0, err
	}
	if l.IsDead(a.Entry, a.Incarnation) {
		return 0, nil
	}
	l.dead[a.Entry] = a.Incarnation
	keys := l.openKeysUpTo(a.Entry, a.Incarnation)
	for _, key := range keys {
		l.settle(l.records.get(key), OutcomeUnknown, nil, now)
	}
	return len(keys), nil
}

// IsDead reports whether the given incarnation of an entry's process is known to be dead.
// Abandon has no effect then.
func (l *Ledger) IsDead(entry string, incarnation uint64) bool { return incarnation <= l.dead[entry] }

// CheckAbandon returns the error that Abandon would return.
func (l *Ledger) CheckAbandon(a Abandon) *fault.Error {
	if err := a.check(); err != nil {
		return err
	}
	if _, known := l.dead[a.Entry]; !known && len(l.dead) >= maxDeadVMs {
		return fault.New(fault.Overloaded, part, "limit of %d VMs with dead processes reached", maxDeadVMs)
	}
	return nil
}

// openKeysUpTo returns the keys of the open records that the given and earlier
// incarnations of the entry began, sorted.
func (l *Ledger) openKeysUpTo(entry string, incarnation uint64) []KeyDigest {
	var keys []KeyDigest
	for key := range l.open[entry] {
		if l.records.get(key).Incarnation <= incarnation {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b KeyDigest) int { return slices.Compare(a[:], b[:]) })
	return keys
}

// settle moves an open record to a settled state. The record of a generated key
// is removed and its attempt closed.
func (l *Ledger) settle(rec *Record, state RecordState, response *Response, now int64) {
	l.removeOpenKey(rec.Entry, rec.Key)
	if rec.GeneratedKey {
		l.records.remove(rec.Key)
		l.closeAttempt(ClosedAttempt{Key: rec.Key, Attempt: rec.Attempt, Outcome: state.closedOutcome(), At: now})
		return
	}
	l.lastSettledSeq++
	next := &Record{
		Key:           rec.Key,
		RequestDigest: rec.RequestDigest,
		State:         state,
		Attempt:       rec.Attempt,
		Response:      response,
		SettledAt:     now,
		SettledSeq:    l.lastSettledSeq,
	}
	if response != nil {
		l.responseBytes += len(response.Body)
	}
	l.records.put(next)
	item := expiryItem{key: rec.Key, seq: l.lastSettledSeq, at: now}
	l.settled = append(l.settled, item)
	if response != nil {
		l.responses = append(l.responses, item)
	}
}

// closeAttempt records that an attempt must not start. At the limit it evicts the
// oldest closed attempt. A delayed Begin of an evicted attempt can then open a
// record, which its entry has to cancel again, but no request runs twice.
func (l *Ledger) closeAttempt(c ClosedAttempt) {
	if _, ok := l.closedOutcomes[c.attemptKey()]; ok {
		return
	}
	if len(l.closed) >= l.limits.MaxClosed {
		l.evictOldestClosed()
	}
	l.closed = append(l.closed, c)
	l.closedOutcomes[c.attemptKey()] = c.Outcome
}

func (l *Ledger) evictOldestClosed() {
	delete(l.closedOutcomes, l.closed[0].attemptKey())
	l.closed = l.closed[1:]
}
