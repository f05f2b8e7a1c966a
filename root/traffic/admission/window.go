package admission

import "time"

// windowSlots divide the window of a budget. One more slot than the window has
// is kept, so that any window of that length lies within what is counted.
const windowSlots = 10

// WindowBudget bounds further transmissions to a share of the first ones in
// any window of a given length.
type WindowBudget struct {
	ratio float64
	slot  time.Duration
	// first and further count transmissions by slot; at is the newest slot.
	first, further [windowSlots + 1]int
	at             int64
}

// NewWindowBudget returns a budget of ratio further transmissions for each
// first one in any window.
func NewWindowBudget(ratio float64, window time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, slot: max(1, window/windowSlots)}
}

// First counts a first transmission.
func (b *WindowBudget) First(now time.Time) { b.first[b.roll(now)]++ }

// Take counts a further transmission, unless the window already has its share
// and extra ones.
func (b *WindowBudget) Take(now time.Time, extra int) bool {
	i := b.roll(now)
	if float64(sum(b.further[:])+1) > b.ratio*float64(sum(b.first[:])-b.first[i])+float64(extra) {
		return false
	}
	b.further[i]++
	return true
}

// roll clears the slots that have passed and returns the present one.
func (b *WindowBudget) roll(now time.Time) int {
	at := now.UnixNano() / int64(b.slot)
	n := int64(len(b.first))
	if at-b.at >= n {
		b.first, b.further = [windowSlots + 1]int{}, [windowSlots + 1]int{}
		b.at = at
	}
	for b.at < at {
		b.at++
		b.first[b.at%n], b.further[b.at%n] = 0, 0
	}
	return int(b.at % n)
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
