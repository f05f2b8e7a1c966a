package ledger

// Expire removes responses, settled keys and closed attempts that are past their
// retention. Open records never expire. One call removes at most
// maxExpirationsPerCall of each kind; queue items that are stale or have no
// response are skipped without a limit.
func (l *Ledger) Expire(now int64) {
	l.expireResponses(now)
	l.expireKeys(now)
	l.expireClosed(now)
}

// expireResponses drops responses that can't be replayed any more. Stale queue
// items don't count against the limit: a restored ledger has none, and must
// reach the same state.
func (l *Ledger) expireResponses(now int64) {
	for dropped := 0; dropped < maxExpirationsPerCall && l.responsesDropped < len(l.settled); {
		next := l.settled[l.responsesDropped]
		if !expired(next.at, now, l.limits.ResponseRetention) {
			return
		}
		l.responsesDropped++
		if rec := l.settledRecord(next); rec != nil && rec.Response != nil {
			l.dropResponse(rec)
			dropped++
		}
	}
}

func (l *Ledger) dropResponse(rec *Record) {
	l.responseBytes -= len(rec.Response.Body)
	next := *rec
	next.Response = nil
	l.records.put(&next)
}

// expireKeys removes the records of settled keys. The timestamp of a UUIDv7 key
// may be up to MaxClockSkew ahead, so records are kept that much longer than the
// retention. After that, Begin rejects the key by its timestamp.
func (l *Ledger) expireKeys(now int64) {
	retention := l.limits.KeyRetention + MaxClockSkew
	for dropped := 0; dropped < maxExpirationsPerCall && len(l.settled) > 0; {
		oldest := l.settled[0]
		if !expired(oldest.at, now, retention) {
			return
		}
		l.settled = l.settled[1:]
		l.responsesDropped = max(l.responsesDropped-1, 0)
		if rec := l.settledRecord(oldest); rec != nil {
			l.removeRecord(rec)
			dropped++
		}
	}
}

func (l *Ledger) removeRecord(rec *Record) {
	if rec.Response != nil {
		l.responseBytes -= len(rec.Response.Body)
	}
	l.records.remove(rec.Key)
}

// settledRecord returns the record that item refers to, or nil if item is stale.
func (l *Ledger) settledRecord(item expiryItem) *Record {
	rec := l.records.get(item.key)
	if rec == nil || rec.SettledSeq != item.seq {
		return nil
	}
	return rec
}

func (l *Ledger) expireClosed(now int64) {
	for range maxExpirationsPerCall {
		if len(l.closed) == 0 || !expired(l.closed[0].At, now, l.limits.ClosedRetention) {
			return
		}
		l.evictOldestClosed()
	}
}
