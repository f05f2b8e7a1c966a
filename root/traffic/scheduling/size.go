package scheduling

import "math"

const (
	// defaultLong is the cost above which work counts as long before any answer
	// is seen, in output-token equivalents.
	defaultLong = 384
	// longPart is the part of the typical cost above which work counts as long.
	longPart = 1.0 / 3
	// sizeWeight is the weight of a new answer in the typical cost.
	sizeWeight = 0.01
)

// Cost returns the work of a request in output-token equivalents.
func Cost(promptTokens int, output float64) float64 {
	return math.Max(1, prefillWeight*float64(promptTokens)+output)
}

// sizes learns the typical cost: the geometric mean over units of work rather
// than over requests, so that many short requests do not hide the long ones.
type sizes struct {
	cost, logs average
}

func (s *sizes) observe(cost float64) {
	s.cost.observe(cost, sizeWeight)
	s.logs.observe(cost*math.Log(cost), sizeWeight)
}

// isLong reports whether work of the given cost counts as long.
func (s *sizes) isLong(cost float64) bool {
	if s.cost.seen < minSeen {
		return cost > defaultLong
	}
	return cost > longPart*math.Exp(s.logs.value/s.cost.value)
}

// IsLong reports whether work of the given cost, in output-token equivalents,
// is long among the answers seen.
func (l *Lengths) IsLong(cost float64) bool { return l.sizes.isLong(cost) }
