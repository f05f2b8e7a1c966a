package consensus

import "time"

// writeTracker tracks the state that is not durable and the messages that wait for
// it. The caller writes at most one batch at a time; later changes collect in the
// next batch.
type writeTracker struct {
	// lastSeq is the Seq of the last batch passed to the caller, persistedSeq that of the
	// last durable one.
	lastSeq, persistedSeq         uint64
	hardStateDirty, snapshotDirty bool
	// hardStateSeq is the Seq of the last batch with a hard state.
	hardStateSeq uint64
	// lastIndex and lastTerm identify the last log entry as of batch lastSeq.
	lastIndex, lastTerm uint64
	deferred            []deferredMessage
}

type deferredMessage struct {
	afterSeq uint64
	message  Message
}

// dirty reports whether there are changes that no batch contains.
func (c *Core) dirty() bool {
	return c.writes.hardStateDirty || c.writes.snapshotDirty || c.log.truncated || c.log.submitted < c.log.lastIndex()
}

// hardStateDurable reports whether the term and vote are durable. Until then this replica
// must not move to yet another term: while its disk hangs it can't be elected, and each term
// that it reaches before the others costs them a round, or their leader once the disk works.
func (c *Core) hardStateDurable() bool {
	return !c.writes.hardStateDirty && c.writes.hardStateSeq <= c.writes.persistedSeq
}

// nextWriteBatch returns the next batch, or nil if one is still being written or nothing
// has changed.
func (c *Core) nextWriteBatch() *WriteBatch {
	w := &c.writes
	if w.lastSeq > w.persistedSeq || !c.dirty() {
		return nil
	}
	w.lastSeq++
	batch := &WriteBatch{Seq: w.lastSeq, Truncate: c.log.truncated, TruncateAfter: c.log.truncateAfter}
	if w.hardStateDirty {
		batch.HardState = &HardState{Term: c.term, Vote: c.vote}
		w.hardStateSeq = w.lastSeq
	}
	if w.snapshotDirty {
		batch.Snapshot = c.snapshot
	}
	first := c.log.submitted + 1
	if batch.Snapshot != nil && batch.Truncate {
		// The caller drops its whole log and restarts it after the snapshot. All entries
		// that follow are written, also those that an earlier batch contains.
		batch.TruncateAfter = batch.Snapshot.Index
		first = batch.Snapshot.Index + 1
	}
	if first <= c.log.lastIndex() {
		batch.Entries = c.log.slice(first, c.log.lastIndex())
	}
	w.hardStateDirty, w.snapshotDirty = false, false
	c.log.truncated, c.log.truncateAfter = false, 0
	c.log.submitted = c.log.lastIndex()
	w.lastIndex, w.lastTerm = c.log.lastIndex(), c.log.lastTerm()
	return batch
}

// Persisted reports that the batch with the given Seq is durable. A seq other than that
// of the batch being written is ignored.
func (c *Core) Persisted(now time.Time, seq uint64) {
	c.advanceClock(now)
	w := &c.writes
	if seq != w.lastSeq || seq == w.persistedSeq {
		return
	}
	w.persistedSeq = seq
	// durable advances only if the entry that was last when the batch was made has not been
	// replaced during the write. An entry that was replaced and then restored passes this
	// check although its truncation is still to be written.
	if entryTerm, ok := c.log.term(w.lastIndex); ok && entryTerm == w.lastTerm {
		c.log.durable = max(c.log.durable, w.lastIndex)
	}
	c.sendDeferred()
	if c.role == leader {
		c.updateCommit()
	}
}

// sendAfterWrite queues m to be sent once all changes made so far are durable.
func (c *Core) sendAfterWrite(m Message) {
	after := c.writes.lastSeq
	if c.dirty() {
		after++
	}
	c.writes.deferred = append(c.writes.deferred, deferredMessage{afterSeq: after, message: c.withHeader(m)})
	c.sendDeferred()
}

// sendDeferred sends the deferred messages whose writes are durable. A message to
// this replica itself, such as its own vote, is handled immediately.
func (c *Core) sendDeferred() {
	for len(c.writes.deferred) > 0 && c.writes.deferred[0].afterSeq <= c.writes.persistedSeq {
		m := c.writes.deferred[0].message
		c.writes.deferred = c.writes.deferred[1:]
		if m.To == c.cfg.ID {
			c.step(m)
			continue
		}
		c.messages = append(c.messages, m)
	}
}

// send queues m without waiting for writes.
func (c *Core) send(m Message) { c.messages = append(c.messages, c.withHeader(m)) }

// withHeader sets the sender of m, and the term to the current one unless m has a term.
func (c *Core) withHeader(m Message) Message {
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	return m
}
