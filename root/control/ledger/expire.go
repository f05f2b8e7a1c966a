package ledger

// Expire drops what is past its retention: answers, settled keys and closed
// attempts. Open records stay. One call does a bounded amount of work.
func (l *Ledger) Expire(now int64) {
	l.dropAnswers(now)
	l.dropKeys(now)
	l.dropClosed(now)
}

// dropAnswers counts only answers that it drops: a restored ledger, whose queue
// has no stale entries, must come to the same state.
func (l *Ledger) dropAnswers(now int64) {
	for dropped := 0; dropped < maxForgetsPerCall && l.answersDropped < len(l.settled); {
		next := l.settled[l.answersDropped]
		if !expired(next.at, now, l.limits.AnswerRetention) {
			return
		}
		l.answersDropped++
		if rec := l.current(next); rec != nil && rec.Answer != nil {
			l.dropAnswer(rec)
			dropped++
		}
	}
}

func (l *Ledger) dropAnswer(rec *Record) {
	l.answerBytes -= len(rec.Answer.Body)
	next := *rec
	next.Answer = nil
	l.records.put(&next)
}

// dropKeys forgets settled keys. They stay longer than the retention by the
// clock skew: from then on the own time of a UUIDv7 key gives it away.
func (l *Ledger) dropKeys(now int64) {
	retention := l.limits.KeyRetention + MaxClockSkew
	for dropped := 0; dropped < maxForgetsPerCall && len(l.settled) > 0; {
		oldest := l.settled[0]
		if !expired(oldest.at, now, retention) {
			return
		}
		l.settled = l.settled[1:]
		l.answersDropped = max(l.answersDropped-1, 0)
		if rec := l.current(oldest); rec != nil {
			l.dropKey(rec)
			dropped++
		}
	}
}

func (l *Ledger) dropKey(rec *Record) {
	if rec.Answer != nil {
		l.answerBytes -= len(rec.Answer.Body)
	}
	l.records.remove(rec.Key)
}

// current returns the record that was settled by s, or nil when it changed since.
func (l *Ledger) current(s settlement) *Record {
	rec := l.records.get(s.key)
	if rec == nil || rec.Settled != s.settled {
		return nil
	}
	return rec
}

func (l *Ledger) dropClosed(now int64) {
	for range maxForgetsPerCall {
		if len(l.closed) == 0 || !expired(l.closed[0].At, now, l.limits.ClosedRetention) {
			return
		}
		l.forgetClosed()
	}
}
