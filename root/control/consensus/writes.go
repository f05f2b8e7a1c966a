package consensus

import "time"

// writeTracker tracks the state that is not durable and the messages that wait for
// it. The caller writes at most one batch at a time; later changes collect in the
// next batch.
type writeTracker struct {
	// seq is the last batch passed to the caller, persisted the last durable one.
	seq, persisted                uint64
	hardStateDirty, snapshotDirty bool
	// lastIndex and lastTerm identify the last log entry as of batch seq.
	lastIndex, lastTerm uint64
	deferred            []deferredMessage
}

type deferredMessage struct {
	afterSeq uint64
	message  Message
}

// dirty reports whether there are changes that no batch contains.
func (c *Core) dirty() bool {
	return c.writes.hardStateDirty || c.writes.snapshotDirty || c.log.truncated || c.log.written < c.log.lastIndex()
}

// nextWriteBatch returns the next batch, or nil if one is still being written or nothing
// has changed.
func (c *Core) nextWriteBatch() *WriteBatch {
	w := &c.writes
	if w.seq > w.persisted || !c.dirty() {
		return nil
	}
	w.seq++
	p := &WriteBatch{Seq: w.seq, Truncate: c.log.truncated, TruncateAfter: c.log.truncateAfter}
	if w.hardStateDirty {
		p.HardState = &HardState{Term: c.term, Vote: c.vote}
	}
	if w.snapshotDirty {
		p.Snapshot = c.snapshot
	}
	first := c.log.written + 1
	if p.Snapshot != nil && p.Truncate {
		// The log restarts after the snapshot.
		p.TruncateAfter = max(p.TruncateAfter, p.Snapshot.Index)
		first = max(first, p.Snapshot.Index+1)
	}
	if first <= c.log.lastIndex() {
		p.Entries = c.log.slice(first, c.log.lastIndex())
	}
	w.hardStateDirty, w.snapshotDirty = false, false
	c.log.truncated, c.log.truncateAfter = false, 0
	c.log.written = c.log.lastIndex()
	w.lastIndex, w.lastTerm = c.log.lastIndex(), c.log.lastTerm()
	return p
}

// Persisted reports that the batch with the given Seq is durable. Any other seq is
// ignored.
func (c *Core) Persisted(now time.Time, seq uint64) {
	c.advanceClock(now)
	w := &c.writes
	if seq != w.seq || seq == w.persisted {
		return
	}
	w.persisted = seq
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
	after := c.writes.seq
	if c.dirty() {
		after++
	}
	c.writes.deferred = append(c.writes.deferred, deferredMessage{afterSeq: after, message: c.withSender(m)})
	c.sendDeferred()
}

// sendDeferred sends the deferred messages whose writes are durable. A message to
// this replica itself, such as its own vote, is handled immediately.
func (c *Core) sendDeferred() {
	for len(c.writes.deferred) > 0 && c.writes.deferred[0].afterSeq <= c.writes.persisted {
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
func (c *Core) send(m Message) { c.messages = append(c.messages, c.withSender(m)) }

// withSender sets the sender of m, and the current term unless m has one.
func (c *Core) withSender(m Message) Message {
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	return m
}
