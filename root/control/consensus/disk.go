package consensus

import "time"

// writes tracks what must be made durable and the messages that wait for it.
// At most one Persist is with the caller; the next one grows meanwhile.
type writes struct {
	seq, persisted      uint64
	hardState, snapshot bool
	// lastIndex and lastTerm name the log's end in the Persist with the caller.
	lastIndex, lastTerm uint64
	held                []heldMessage
}

type heldMessage struct {
	after   uint64
	message Message
}

// dirty reports whether something waits to be handed to the disk.
func (c *Core) dirty() bool {
	return c.disk.hardState || c.disk.snapshot || c.log.cut || c.log.written < c.log.last()
}

// nextPersist returns the next batch of writes, or nil while one is under way.
func (c *Core) nextPersist() *Persist {
	d := &c.disk
	if d.seq > d.persisted || !c.dirty() {
		return nil
	}
	d.seq++
	p := &Persist{Seq: d.seq, Truncate: c.log.cut, TruncateAfter: c.log.cutAfter}
	if d.hardState {
		p.HardState = &HardState{Term: c.term, Vote: c.vote}
	}
	if d.snapshot {
		p.Snapshot = c.snapshot
	}
	first := c.log.written + 1
	if p.Snapshot != nil && p.Truncate {
		// The log starts anew after the snapshot.
		p.TruncateAfter = max(p.TruncateAfter, p.Snapshot.Index)
		first = max(first, p.Snapshot.Index+1)
	}
	if first <= c.log.last() {
		p.Entries = c.log.between(first, c.log.last())
	}
	d.hardState, d.snapshot = false, false
	c.log.cut, c.log.cutAfter = false, 0
	c.log.written = c.log.last()
	d.lastIndex, d.lastTerm = c.log.last(), c.log.lastTerm()
	return p
}

// Persisted reports that the Persist with the given Seq is durable.
func (c *Core) Persisted(now time.Time, seq uint64) {
	c.advance(now)
	d := &c.disk
	if seq != d.seq || seq == d.persisted {
		return
	}
	d.persisted = seq
	if at, ok := c.log.term(d.lastIndex); ok && at == d.lastTerm {
		c.log.durable = max(c.log.durable, d.lastIndex)
	}
	c.release()
	if c.role == leader {
		c.updateCommit()
	}
}

// sendAfterWrite sends m once everything known now is durable.
func (c *Core) sendAfterWrite(m Message) {
	after := c.disk.seq
	if c.dirty() {
		after++
	}
	c.disk.held = append(c.disk.held, heldMessage{after: after, message: c.stamp(m)})
	c.release()
}

// release sends the held messages whose writes are durable. One to this
// replica itself, such as its own vote, is received at once.
func (c *Core) release() {
	for len(c.disk.held) > 0 && c.disk.held[0].after <= c.disk.persisted {
		m := c.disk.held[0].message
		c.disk.held = c.disk.held[1:]
		if m.To == c.cfg.ID {
			c.step(m)
			continue
		}
		c.messages = append(c.messages, m)
	}
}

// send queues m at once.
func (c *Core) send(m Message) { c.messages = append(c.messages, c.stamp(m)) }

func (c *Core) stamp(m Message) Message {
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	return m
}
