package ledger

import (
	"cmp"
	"slices"
)

// Expire removes responses, settled keys and closed attempts that are past their
// retention. Open records never expire. One call removes at most
// maxExpirationsPerCall of each kind and looks at no more. What it removes depends on
// the records only, so that a restored ledger reaches the same state.
func (l *Ledger) Expire(now int64) {
	l.expireResponses(now)
	l.expireKeys(now)
	l.expireClosed(now)
}

// expireResponses drops responses that can't be replayed any more.
func (l *Ledger) expireResponses(now int64) {
	for range maxExpirationsPerCall {
		if len(l.responses) == 0 || !expired(l.responses[0].at, now, l.limits.ResponseRetention) {
			return
		}
		l.dropResponse(l.records.get(l.responses[0].key))
		l.responses = l.responses[1:]
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
//
// A record has lost its response by then: responses expire earlier, in the same order
// and as many in a call.
func (l *Ledger) expireKeys(now int64) {
	retention := l.limits.KeyRetention + MaxClockSkew
	for range maxExpirationsPerCall {
		if len(l.settled) == 0 || !expired(l.settled[0].at, now, retention) {
			return
		}
		l.records.remove(l.settled[0].key)
		l.settled = l.settled[1:]
	}
}

// removeSettled removes the item of a cancelled record, which is opened again, from the
// expiry queue.
func (l *Ledger) removeSettled(rec *Record) {
	i, found := slices.BinarySearchFunc(l.settled, rec.SettledSeq, func(item expiryItem, seq uint64) int {
		return cmp.Compare(item.seq, seq)
	})
	if found {
		l.settled = slices.Delete(l.settled, i, i+1)
	}
}

func (l *Ledger) expireClosed(now int64) {
	for range maxExpirationsPerCall {
		if len(l.closed) == 0 || !expired(l.closed[0].At, now, l.limits.ClosedRetention) {
			return
		}
		l.evictOldestClosed()
	}
}
