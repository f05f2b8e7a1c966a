package ledger

import (
	"slices"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Finish records the end of an attempt. A repeated Finish gets the first
// outcome again. An error changes nothing: its kind is fault.Invalid,
// fault.NotFound for a key without a record, or fault.Conflict for an attempt
// other than the open one.
func (l *Ledger) Finish(f Finish, now int64) (Outcome, *fault.Error) {
	if err := f.check(); err != nil {
		return Outcome{}, err
	}
	rec := l.records.get(f.Key.Digest())
	if rec == nil {
		return Outcome{}, fault.New(fault.NotFound, part, "the key has no record").WithRan(fault.RanUnknown)
	}
	if rec.Attempt != f.Attempt {
		return Outcome{}, fault.New(fault.Conflict, part, "the attempt is not the open one").WithRan(fault.RanUnknown)
	}
	if rec.State != Open {
		return l.outcomeOf(rec, now), nil
	}
	if f.Unknown {
		l.settle(rec, Lost, nil, now)
		return Outcome{Kind: Unknown}, nil
	}
	answer := l.keep(f.Answer)
	l.settle(rec, Finished, answer, now)
	if answer == nil {
		return Outcome{Kind: Unreplayable}, nil
	}
	return Outcome{Kind: Recorded, Answer: *answer}, nil
}

// keep returns a copy of the answer, or nil when it is too large to keep.
func (l *Ledger) keep(a Answer) *Answer {
	size := len(a.Body)
	if a.Omitted || len(a.ContentType) > MaxContentTypeBytes {
		return nil
	}
	if size > l.limits.MaxAnswerBytes || l.answerBytes+size > l.limits.MaxTotalAnswerBytes {
		return nil
	}
	a.Body = slices.Clone(a.Body)
	return &a
}

// Cancel records that an attempt never sent and never will. The attempt is
// remembered for a bounded time, so that a late Begin of it is refused. An
// error changes nothing: its kind is fault.Invalid, or fault.Conflict when the
// attempt is known to have sent.
func (l *Ledger) Cancel(c Cancel, now int64) (Outcome, *fault.Error) {
	if err := c.check(); err != nil {
		return Outcome{}, err
	}
	key := c.Key.Digest()
	if closed, ok := l.closedOutcome[attemptID{key, c.Attempt}]; ok {
		return cancelAgain(closed)
	}
	rec := l.records.get(key)
	if rec != nil && rec.Attempt == c.Attempt {
		switch rec.State {
		case Finished:
			return cancelAgain(Unreplayable)
		case Lost:
			return Outcome{Kind: Unknown}, nil
		case Open:
			l.settle(rec, Cancelled, nil, now)
		}
	}
	l.close(ClosedAttempt{Key: key, Attempt: c.Attempt, Outcome: NotRun, At: now})
	return Outcome{Kind: NotRun}, nil
}

// cancelAgain answers a Cancel of an attempt that is settled already.
func cancelAgain(settled OutcomeKind) (Outcome, *fault.Error) {
	switch settled {
	case InProgress:
		return Outcome{Kind: NotRun}, nil
	case Unreplayable:
		return Outcome{}, fault.New(fault.Conflict, part, "the attempt has finished").WithRan(fault.RanYes)
	}
	return Outcome{Kind: settled}, nil
}

// Abandon turns every open record of the dead processes into an unknown
// outcome, for ever, and returns how many there were.
func (l *Ledger) Abandon(a Abandon, now int64) (int, *fault.Error) {
	if err := a.check(); err != nil {
		return 0, err
	}
	if a.Incarnation <= l.dead[a.Entry] {
		return 0, nil
	}
	if _, known := l.dead[a.Entry]; !known && len(l.dead) >= maxDead {
		return 0, fault.New(fault.Overloaded, part, "dead processes of %d VMs are remembered, the bound", maxDead)
	}
	l.dead[a.Entry] = a.Incarnation
	keys := l.openUpTo(a.Entry, a.Incarnation)
	for _, key := range keys {
		l.settle(l.records.get(key), Lost, nil, now)
	}
	return len(keys), nil
}

// openUpTo returns the open keys of an entry up to an incarnation, in key order.
func (l *Ledger) openUpTo(entry string, incarnation uint64) []KeyDigest {
	var keys []KeyDigest
	for key := range l.open[entry] {
		if l.records.get(key).Incarnation <= incarnation {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b KeyDigest) int { return slices.Compare(a[:], b[:]) })
	return keys
}

// settle moves an open record to its next state.
func (l *Ledger) settle(rec *Record, state RecordState, answer *Answer, now int64) {
	l.clearOpen(rec.Entry, rec.Key)
	if rec.Private {
		l.records.remove(rec.Key)
		l.close(ClosedAttempt{Key: rec.Key, Attempt: rec.Attempt, Outcome: state.outcome(), At: now})
		return
	}
	l.lastSettled++
	next := &Record{
		Key:       rec.Key,
		Digest:    rec.Digest,
		State:     state,
		Attempt:   rec.Attempt,
		Answer:    answer,
		SettledAt: now,
		Settled:   l.lastSettled,
	}
	if answer != nil {
		l.answerBytes += len(answer.Body)
	}
	l.records.put(next)
	l.settled = append(l.settled, settlement{key: rec.Key, settled: l.lastSettled, at: now})
}

// close remembers an attempt that must not start. The oldest one makes room when
// the bound is reached: this can leave a late Begin open, which its entry cancels
// again, but lets nothing run twice.
func (l *Ledger) close(c ClosedAttempt) {
	if _, ok := l.closedOutcome[c.id()]; ok {
		return
	}
	if len(l.closed) >= l.limits.MaxClosed {
		l.forgetClosed()
	}
	l.closed = append(l.closed, c)
	l.closedOutcome[c.id()] = c.Outcome
}

func (l *Ledger) forgetClosed() {
	delete(l.closedOutcome, l.closed[0].id())
	l.closed = l.closed[1:]
}
