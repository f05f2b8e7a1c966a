package scheduling

import "time"

const (
	// staleReport is the age past which a report frees no slot for borrowing.
	staleReport = 3 * time.Second
	// borrowMargin is the share of a server's slots left free when an entry
	// uses more than its own part.
	borrowMargin = 0.15
)

// SlotFilter keeps servers with a free slot. An entry may always use its own
// part of a server's slots; it borrows more while a fresh report and its own
// count say that the server has room.
type SlotFilter struct{}

// Keep implements Filter.
func (SlotFilter) Keep(w *Work, c *Candidate) bool {
	if c.Server.Slots <= 0 {
		return true
	}
	if w.Long {
		return longFits(c)
	}
	return c.Own < c.OwnPart || borrows(c, float64(c.Server.Slots))
}

// longFits applies the lower bounds for long work.
func longFits(c *Candidate) bool {
	if c.Own >= c.Server.Slots {
		return false
	}
	if c.OwnLong < c.LongPart && c.LongFree {
		return true
	}
	return borrows(c, float64(c.LongSlots)*(1-borrowMargin))
}

// borrows reports whether the server has room under limit for one more.
func borrows(c *Candidate, limit float64) bool {
	if !c.Reported || c.ReportAge > staleReport {
		return false
	}
	return c.Queued < 1 && c.Running()+1 <= limit
}
