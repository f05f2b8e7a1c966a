package roles

import (
	"math"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// totalCapacity is the capacity of a set of engines, in tokens per second.
type totalCapacity struct {
	// prefill and decode are the capacity of engines with a dedicated role.
	prefill, decode float64
	// mixedPrefill and mixedDecode are the capacity of mixed engines, which share
	// it between the two stages.
	mixedPrefill, mixedDecode float64
}

// add returns the capacity after adding count engines of the given role, or
// removing them if count is negative.
func (t totalCapacity) add(c Capacity, role fleet.Role, count float64) totalCapacity {
	switch role {
	case fleet.Prefill:
		t.prefill += count * c.Prefill
	case fleet.Decode:
		t.decode += count * c.Decode
	default:
		t.mixedPrefill += count * c.MixedFraction * c.Prefill
		t.mixedDecode += count * c.MixedFraction * c.Decode
	}
	return t
}

// servedFraction returns the largest fraction of the demand, up to 1, for which the
// capacity suffices.
func (t totalCapacity) servedFraction(d Demand) float64 {
	if t.canServe(d, 1) {
		return 1
	}
	low, high := 0.0, 1.0
	for range bisectionSteps {
		middle := (low + high) / 2
		if t.canServe(d, middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// bisectionSteps makes the fraction accurate to about one in a million.
const bisectionSteps = 20

// canServe reports whether the mixed engines can serve what remains of a fraction
// of the demand after the dedicated ones have served their stages.
func (t totalCapacity) canServe(d Demand, fraction float64) bool {
	prefillLeft := math.Max(0, fraction*d.Prefill-t.prefill)
	decodeLeft := math.Max(0, fraction*d.Decode-t.decode)
	return utilization(prefillLeft, t.mixedPrefill)+utilization(decodeLeft, t.mixedDecode) <= 1
}

func utilization(demand, capacity float64) float64 {
	switch {
	case demand <= 0:
		return 0
	case capacity <= 0:
		return math.Inf(1)
	}
	return demand / capacity
}
