package roles

import (
	"math"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// pool sums the capacity of a set of engines, in tokens a second.
type pool struct {
	// prefill and decode belong to engines of one role.
	prefill, decode float64
	// mixedPrefill and mixedDecode belong to mixed engines, which give up one
	// for the other.
	mixedPrefill, mixedDecode float64
}

// with returns the pool with an engine of the given role added sign times.
func (p pool) with(c Capacity, role fleet.Role, sign float64) pool {
	switch role {
	case fleet.Prefill:
		p.prefill += sign * c.Prefill
	case fleet.Decode:
		p.decode += sign * c.Decode
	default:
		p.mixedPrefill += sign * c.Mixed * c.Prefill
		p.mixedDecode += sign * c.Mixed * c.Decode
	}
	return p
}

// served returns the largest share of the demand, up to 1, for which the pool
// has both the prefill and the decode capacity.
func (p pool) served(d Demand) float64 {
	if p.fits(d, 1) {
		return 1
	}
	low, high := 0.0, 1.0
	for range servedSteps {
		middle := (low + high) / 2
		if p.fits(d, middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// servedSteps makes the share exact to about one in a million.
const servedSteps = 20

// fits reports whether the mixed engines can carry what is left of a share of
// the demand.
func (p pool) fits(d Demand, share float64) bool {
	prefillLeft := math.Max(0, share*d.Prefill-p.prefill)
	decodeLeft := math.Max(0, share*d.Decode-p.decode)
	return ratio(prefillLeft, p.mixedPrefill)+ratio(decodeLeft, p.mixedDecode) <= 1
}

func ratio(need, capacity float64) float64 {
	switch {
	case need <= 0:
		return 0
	case capacity <= 0:
		return math.Inf(1)
	}
	return need / capacity
}
