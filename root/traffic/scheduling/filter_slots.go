package scheduling

import "time"

const (
	// staleReport is the age past which a report frees no slot for borrowing.
	staleReport = 3 * time.Second
	// borrowMargin is the share of a server's slots left free when an entry
	// uses more than its own part.
	borrowMargin = 0.05
	// borrowExcess multiplies an entry's even part of the reported room, since
	// seldom do all entries need their parts at once.
	borrowExcess = 2.0
)

// SlotFilter keeps servers with a free slot. An entry may always use its own
// part of a server's slots. It borrows more while a fresh report shows room,
// and no more of that room per report than its part, so that entries that read
// the same report do not overfill the server together.
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
		own := c.Own < c.OwnPart && c.OwnLong < c.LongPart
		return own || borrows(c, c.LongSlots)
	}
	return c.Own < c.OwnPart || borrows(c, c.Server.Slots)
}

// borrows reports whether the reported room under limit has a part left for
// this entry.
func borrows(c *Candidate, limit int) bool {
	if !c.Reported || c.ReportAge > staleReport || c.Queued >= 1 {
		return false
	}
	room := float64(limit)*(1-borrowMargin) - float64(c.Server.Load.Running)
	return float64(c.Since+1) <= room*c.BorrowPart
}
