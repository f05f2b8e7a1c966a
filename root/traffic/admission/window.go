package admission

import "time"

// windowSlots is the number of slots in the window of a budget. Counts are kept for
// one more, the newest slot, which has not ended, so that they cover any window that
// ends in it.
const windowSlots = 10

// WindowBudget limits the retries in any window of a given length to a fraction of
// the requests, of which it counts some that are up to a slot older than the window.
// A retry is any transmission of a request after the first one.
type WindowBudget struct {
	ratio      float64
	slotLength time.Duration
	// requests and retries hold the counts of a slot at its number modulo their length.
	// newestSlot is the number of the newest slot.
	requests, retries [windowSlots + 1]int
	newestSlot        int64
}

// NewWindowBudget returns a budget of ratio retries for each request in any window.
func NewWindowBudget(ratio float64, window time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, slotLength: max(1, window/windowSlots)}
}

// CountRequest counts the first transmission of a request.
func (b *WindowBudget) CountRequest(now time.Time) { b.requests[b.advance(now)]++ }

// Take counts a retry and returns true if the retries in all slots, with this one,
// are at most extra plus ratio times the requests in the slots before the newest one,
// which together are as long as the window. Otherwise it counts none.
func (b *WindowBudget) Take(now time.Time, extra float64) bool {
	i := b.advance(now)
	if float64(sum(b.retries[:])+1) > b.ratio*float64(sum(b.requests[:])-b.requests[i])+extra {
		return false
	}
	b.retries[i]++
	return true
}

// advance clears the slots between the newest one and that of now, and returns the
// index of the latter.
func (b *WindowBudget) advance(now time.Time) int {
	at := now.UnixNano() / int64(b.slotLength)
	n := int64(len(b.requests))
	if at-b.newestSlot >= n {
		b.requests, b.retries = [windowSlots + 1]int{}, [windowSlots + 1]int{}
		b.newestSlot = at
	}
	for b.newestSlot < at {
		b.newestSlot++
		b.requests[b.newestSlot%n], b.retries[b.newestSlot%n] = 0, 0
	}
	return int(b.newestSlot % n)
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
