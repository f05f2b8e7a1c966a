package relay

import (
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// streamPosition tracks which events of a stream the caller has, so that the stream of
// another server continues it only if that is the same stream. Errors are of kind
// fault.StreamCut.
type streamPosition struct {
	// lastID is the number of the last event that the caller has; 0 for none.
	lastID uint64
	// before is the lastID with which the caller sent the request.
	before uint64
	// sent holds the numbered events that were sent to the caller.
	sent engine.SentEvents
	// gaps is set once two events sent had numbers that are not consecutive. The numbers
	// then don't show whether an event is missing.
	gaps bool
	// unnumbered is set once the caller has an event without a number.
	unnumbered bool
	// previous is the number of the previous event of the current attempt; 0 for none.
	previous uint64
}

// begin starts an attempt.
func (p *streamPosition) begin() { p.previous = 0 }

// resumable reports whether another server can continue the stream.
func (p *streamPosition) resumable() bool { return !p.unnumbered }

// accept reports whether the caller must be sent an event: it is not if it has the event
// already. An error means that the event does not continue what the caller has.
func (p *streamPosition) accept(ev engine.VerbatimEvent) (send bool, err error) {
	if ev.Comment {
		return true, nil
	}
	if ev.ID == 0 {
		if p.lastID > 0 {
			return false, fault.New(fault.StreamCut, part, "event without a number follows event %d", p.lastID)
		}
		p.unnumbered = true
		return true, nil
	}
	previous := p.previous
	p.previous = ev.ID
	if ev.ID <= p.lastID {
		return false, p.compare(ev)
	}
	resumed := previous == 0 && !p.sent.Empty()
	if previous > 0 && previous != p.lastID || resumed && !p.gaps && ev.ID != p.lastID+1 {
		return false, fault.New(fault.StreamCut, part, "event %d does not follow event %d", ev.ID, p.lastID)
	}
	p.add(ev)
	return true, nil
}

// compare checks an event that the caller has against the one that was sent to it. Events
// that it had before its request are not known.
func (p *streamPosition) compare(ev engine.VerbatimEvent) error {
	if ev.ID <= p.before {
		return nil
	}
	if !p.sent.Contains(ev.ID, ev.Bytes) {
		return fault.New(fault.StreamCut, part, "event %d differs from the one sent", ev.ID)
	}
	return nil
}

// add records an event that is sent to the caller.
func (p *streamPosition) add(ev engine.VerbatimEvent) {
	p.gaps = p.gaps || !p.sent.Empty() && ev.ID != p.lastID+1
	p.sent.Add(ev.ID, ev.Bytes)
	p.lastID = ev.ID
}

// end checks that an attempt whose stream is complete has reached the last event that the
// caller has. A stream without events has nothing to add.
func (p *streamPosition) end() error {
	if p.previous > 0 && p.previous < p.lastID {
		return fault.New(fault.StreamCut, part, "the stream ended at event %d, before event %d", p.previous, p.lastID)
	}
	return nil
}
