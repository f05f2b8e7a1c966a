package scheduling

import (
	"slices"
	"time"
)

const (
	// staleReport is the age past which a report frees no slot for borrowing.
	staleReport = 3 * time.Second
	// borrowMargin is the share of the slots left free when an entry uses more
	// than its own part.
	borrowMargin = 0.05
	// borrowExcess multiplies an entry's even part of the reported room, since
	// seldom do all entries need their parts at once.
	borrowExcess = 2.0
	// smallPool is the number of slots for each entry below which an entry's
	// part of the free slots may come to less than one.
	smallPool = 4
)

// SlotFilter keeps servers with a free slot. An entry may always use its own
// part of a server's slots, which is one at least without a fresh report. It borrows more while a fresh report shows room:
// no more of that room per report than its part, so that entries that read the
// same report do not overfill the server together. A little short work may use
// all of the reported room, which is kept for it.
type SlotFilter struct{}

// Keep implements Filter.
func (SlotFilter) Keep(w *Work, c *Candidate) bool {
	if c.Server.Slots <= 0 {
		return true
	}
	if c.Own >= c.Server.Slots {
		return false
	}
	if w.Long {
		return c.Own < c.OwnPart && c.OwnLong < c.LongPart || c.BorrowLong && likelyFree(w, c)
	}
	if c.Own < c.OwnPart {
		return true
	}
	return (c.Borrow || c.RoomFree && fresh(c)) && likelyFree(w, c)
}

// fresh reports whether the server's load report is recent enough to rely on.
func fresh(c *Candidate) bool { return c.Reported && c.ReportAge <= staleReport }

// The tiers of slots, the surest first.
const (
	// roomSlot is in this entry's part of the room kept for short work.
	roomSlot = iota
	// ownSlot is in this entry's part.
	ownSlot
	// borrowedSlot is likely free.
	borrowedSlot
	// takenSlot is likely taken, so that the work would queue on the server.
	takenSlot
)

// tier says how sure it is that the work gets a slot at once.
func tier(w *Work, c *Candidate) int {
	switch {
	case !likelyFree(w, c):
		return takenSlot
	case c.Own >= c.OwnPart:
		return borrowedSlot
	case !w.Long && c.OwnLong >= c.LongPart:
		return roomSlot
	default:
		return ownSlot
	}
}

// preferSure keeps the candidates of the surest tier present.
func preferSure(w *Work, kept []Candidate) []Candidate {
	best := takenSlot
	for i := range kept {
		best = min(best, tier(w, &kept[i]))
	}
	return slices.DeleteFunc(kept, func(c Candidate) bool { return tier(w, &c) > best })
}

// likelyFree reports whether the server is estimated to have a free slot.
func likelyFree(w *Work, c *Candidate) bool {
	limit := c.Server.Slots
	if w.Long {
		limit = c.LongSlots
	}
	return c.Queued < 1 && c.Running()+1 <= float64(limit)
}
