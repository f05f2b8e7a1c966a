package scheduling

import (
	"slices"
	"time"
)

const (
	// maxReportAge is the age up to which a load report counts for borrowing.
	maxReportAge = 3 * time.Second
	// borrowMargin is the fraction of the slots that borrowing leaves free.
	borrowMargin = 0.05
	// borrowFactor multiplies an entry's equal share of the reported free slots,
	// since entries seldom all need their shares at once.
	borrowFactor = 2.0
	// fewSlotsPerEntry is the number of slots per entry below which an entry's share
	// of the free slots can be less than one.
	fewSlotsPerEntry = 4
)

// SlotFilter keeps servers with a free slot. An entry may use its own share of a
// server's slots, which is at least one without a fresh report. Beyond that it
// borrows slots that a fresh report shows as free, up to its share of them per
// report, so that entries that read the same report do not overfill the server
// together. A long request in its entry's share also needs room in the entry's share
// of the slots for long requests. If Candidate.ReserveFree is set, a short request
// may use any slot that a fresh report shows as free, including those reserved for
// short requests. A server without slots counts as unlimited, but no announcement of
// one is accepted.
type SlotFilter struct{}

// Keep implements Filter.
func (SlotFilter) Keep(req *Request, c *Candidate) bool {
	if c.Server.Slots <= 0 {
		return true
	}
	if c.OwnRunning >= c.Server.Slots {
		return false
	}
	if req.Long {
		return c.OwnRunning < c.OwnShare && c.OwnLongRunning < c.LongShare || c.BorrowLong && likelyFree(req, c)
	}
	if c.OwnRunning < c.OwnShare {
		return true
	}
	return (c.Borrow || c.ReserveFree && hasFreshReport(c)) && likelyFree(req, c)
}

// hasFreshReport reports whether the server's load report is recent enough for
// borrowing.
func hasFreshReport(c *Candidate) bool { return c.Reported && c.ReportAge <= maxReportAge }

// The tiers of slots, in order of preference.
const (
	// reservedSlot is in this entry's share of the slots reserved for short requests.
	reservedSlot = iota
	// ownSlot is in this entry's share.
	ownSlot
	// borrowedSlot is beyond this entry's share and likely free.
	borrowedSlot
	// takenSlot is likely in use, so that the request would queue on the server.
	takenSlot
)

// slotTier returns the tier of the slot that the request would get.
func slotTier(req *Request, c *Candidate) int {
	switch {
	case !likelyFree(req, c):
		return takenSlot
	case c.OwnRunning >= c.OwnShare:
		return borrowedSlot
	case !req.Long && c.OwnLongRunning >= c.LongShare:
		return reservedSlot
	default:
		return ownSlot
	}
}

// keepBestTier keeps the candidates of the best tier present.
func keepBestTier(req *Request, kept []Candidate) []Candidate {
	best := takenSlot
	for i := range kept {
		best = min(best, slotTier(req, &kept[i]))
	}
	return slices.DeleteFunc(kept, func(c Candidate) bool { return slotTier(req, &c) > best })
}

// likelyFree reports whether the server is estimated to have a free slot.
func likelyFree(req *Request, c *Candidate) bool {
	limit := c.Server.Slots
	if req.Long {
		limit = c.LongSlots
	}
	return c.Queued < 1 && c.Running()+1 <= float64(limit)
}
