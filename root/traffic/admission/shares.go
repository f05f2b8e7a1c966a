package admission

import (
	"math"
	"slices"
)

// EntryDemand is the demand of one entry for one class.
type EntryDemand struct {
	Entry string
	// Running and Waiting count the entry's requests of the class.
	Running, Waiting int
	// Rate is the number of arrivals per second at the entry.
	Rate float64
}

// evenShare is the fraction of a limit that is divided evenly whatever the demand, so
// that an idle entry can run its next request at once.
const evenShare = 0.25

// DivideLimit divides a class's fleet-wide limit among the entries and returns their
// shares, which add up to 1: evenShare is divided evenly and the rest by demand, so
// that entries without demand leave their shares to others. With a limit above zero,
// each share is a whole number of units of it, and at least one. If there are fewer
// units than entries, the entries with the highest demand get at least one each, and
// none gets a second one while another entry with demand has none.
func DivideLimit(limit int, entries []EntryDemand) map[string]float64 {
	sorted := slices.Clone(entries)
	slices.SortFunc(sorted, byDemandThenName)
	fractions := demandShares(sorted)
	if limit > 0 {
		fractions = roundToUnits(limit, fractions, minUnits(limit, sorted))
	}
	shares := make(map[string]float64, len(sorted))
	for i, e := range sorted {
		shares[e.Entry] = fractions[i]
	}
	return shares
}

// demand returns the number of requests that run, wait or are expected to arrive
// within a second.
func (e EntryDemand) demand() float64 {
	return float64(e.Running+e.Waiting) + e.Rate
}

func byDemandThenName(a, b EntryDemand) int {
	if a.demand() != b.demand() {
		if a.demand() > b.demand() {
			return -1
		}
		return 1
	}
	if a.Entry < b.Entry {
		return -1
	}
	return 1
}

// demandShares returns the shares before rounding. They add up to 1.
func demandShares(entries []EntryDemand) []float64 {
	total := 0.0
	for _, e := range entries {
		total += e.demand()
	}
	n := float64(len(entries))
	shares := make([]float64, len(entries))
	for i, e := range entries {
		shares[i] = 1 / n
		if total > 0 {
			shares[i] = evenShare/n + (1-evenShare)*e.demand()/total
		}
	}
	return shares
}

// minUnits returns how many units of the limit each entry gets at least, at most one.
// The entries are ordered by demand. With one unit, an idle entry can run its next
// request at once.
func minUnits(limit int, entries []EntryDemand) []int {
	out := make([]int, len(entries))
	idleFleet := len(entries) > 0 && entries[0].demand() == 0
	for i, e := range entries[:min(limit, len(entries))] {
		if limit >= len(entries) || idleFleet || e.demand() > 0 {
			out[i] = 1
		}
	}
	return out
}

// roundToUnits rounds the shares to whole units of the limit by the largest
// remainder method. The minimum units of each entry add up to at most the limit.
func roundToUnits(limit int, shares []float64, minUnits []int) []float64 {
	units := make([]int, len(shares))
	byRemainder := make([]int, len(shares))
	remaining := limit
	shares = raiseToUnits(limit, shares, minUnits)
	for i, p := range shares {
		units[i] = max(minUnits[i], int(math.Floor(p*float64(limit)+epsilon)))
		remaining -= units[i]
		byRemainder[i] = i
	}
	remainder := func(i int) float64 { return shares[i]*float64(limit) - float64(units[i]) }
	slices.SortStableFunc(byRemainder, func(a, b int) int {
		if remainder(a) > remainder(b) {
			return -1
		}
		if remainder(a) < remainder(b) {
			return 1
		}
		return 0
	})
	for _, i := range byRemainder[:max(0, min(remaining, len(byRemainder)))] {
		units[i]++
	}
	out := make([]float64, len(shares))
	for i, n := range units {
		out[i] = float64(n) / float64(limit)
	}
	return out
}

// raiseToUnits raises shares below the minimum units of the limit to it and reduces the
// others in proportion to their excess over it.
func raiseToUnits(limit int, shares []float64, minUnits []int) []float64 {
	floor := func(i int) float64 { return float64(minUnits[i]) / float64(limit) }
	above, missing := 0.0, 0.0
	for i, p := range shares {
		above += max(0, p-floor(i))
		missing += max(0, floor(i)-p)
	}
	out := make([]float64, len(shares))
	for i, p := range shares {
		out[i] = floor(i)
		if p > floor(i) && above > 0 {
			out[i] = p - missing*(p-floor(i))/above
		}
	}
	return out
}
