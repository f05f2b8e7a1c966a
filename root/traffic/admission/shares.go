package admission

import (
	"math"
	"slices"
)

// EntryDemand is what one entry reports for one class.
type EntryDemand struct {
	Entry string
	// Running and Waiting count the entry's requests of the class.
	Running, Waiting int
	// Rate is the entry's arrivals per second.
	Rate float64
}

// floorShare is the part of a limit that is split evenly whatever the demand,
// so that a quiet entry can begin at once.
const floorShare = 0.25

// Split divides a class's fleet-wide limits among the entries: a quarter
// evenly, the rest by demand, so that unused shares go back to entries that
// need them. With a limit above zero each share is a whole number of units and
// the shares add up to at most 1; every entry has at least one unit, or where
// there are fewer units than entries, those with the most demand get them.
func Split(limit int, entries []EntryDemand) map[string]float64 {
	sorted := slices.Clone(entries)
	slices.SortFunc(sorted, byDemandThenName)
	parts := fractions(sorted)
	if limit > 0 {
		parts = wholeUnits(limit, parts)
	}
	shares := make(map[string]float64, len(sorted))
	for i, e := range sorted {
		shares[e.Entry] = parts[i]
	}
	return shares
}

func (e EntryDemand) need() float64 {
	return float64(e.Running+e.Waiting) + e.Rate
}

func byDemandThenName(a, b EntryDemand) int {
	if a.need() != b.need() {
		if a.need() > b.need() {
			return -1
		}
		return 1
	}
	if a.Entry < b.Entry {
		return -1
	}
	return 1
}

// fractions returns the unrounded shares; they add up to 1.
func fractions(entries []EntryDemand) []float64 {
	total := 0.0
	for _, e := range entries {
		total += e.need()
	}
	n := float64(len(entries))
	parts := make([]float64, len(entries))
	for i, e := range entries {
		parts[i] = 1 / n
		if total > 0 {
			parts[i] = floorShare/n + (1-floorShare)*e.need()/total
		}
	}
	return parts
}

// wholeUnits rounds the shares to whole units by largest remainder.
func wholeUnits(limit int, parts []float64) []float64 {
	units := make([]int, len(parts))
	order := make([]int, len(parts))
	left := limit
	// With a unit for everybody, an entry that was quiet can begin at once.
	least := 0
	if limit >= len(parts) {
		least = 1
		parts = withFloor(parts, 1/float64(limit))
	}
	for i, p := range parts {
		units[i] = max(least, int(math.Floor(p*float64(limit)+rounding)))
		left -= units[i]
		order[i] = i
	}
	remainder := func(i int) float64 { return parts[i]*float64(limit) - float64(units[i]) }
	slices.SortStableFunc(order, func(a, b int) int {
		if remainder(a) > remainder(b) {
			return -1
		}
		if remainder(a) < remainder(b) {
			return 1
		}
		return 0
	})
	for _, i := range order[:max(0, min(left, len(order)))] {
		units[i]++
	}
	out := make([]float64, len(parts))
	for i, n := range units {
		out[i] = float64(n) / float64(limit)
	}
	return out
}

// withFloor raises small parts to the floor and takes the difference from what
// the others have above it.
func withFloor(parts []float64, floor float64) []float64 {
	above, missing := 0.0, 0.0
	for _, p := range parts {
		above += max(0, p-floor)
		missing += max(0, floor-p)
	}
	out := make([]float64, len(parts))
	for i, p := range parts {
		out[i] = floor
		if p > floor && above > 0 {
			out[i] = p - missing*(p-floor)/above
		}
	}
	return out
}
