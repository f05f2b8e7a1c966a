package scheduling

import "math"

const (
	// defaultLongCost is the cost above which a request counts as long until there
	// are enough samples, in output-token equivalents.
	defaultLongCost = 384
	// longCostRatio is the fraction of the typical cost above which a request counts
	// as long.
	longCostRatio = 1.0 / 3
	// costSmoothing is the weight of a new response in the typical cost.
	costSmoothing = 0.01
)

// Cost returns the work of a request in output-token equivalents.
func Cost(promptTokens int, output float64) float64 {
	return math.Max(1, prefillWeight*float64(promptTokens)+output)
}

// typicalCost averages the cost of requests: the geometric mean, weighted by cost
// so that many short requests do not hide the long ones.
type typicalCost struct {
	// cost is the average cost, costLog the average of the cost times its logarithm.
	cost, costLog average
}

func (t *typicalCost) observe(cost float64) {
	t.cost.observe(cost, costSmoothing)
	t.costLog.observe(cost*math.Log(cost), costSmoothing)
}

// isLong reports whether a request of the given cost counts as long.
func (t *typicalCost) isLong(cost float64) bool {
	if t.cost.samples < minMeanSamples {
		return cost > defaultLongCost
	}
	return cost > longCostRatio*math.Exp(t.costLog.value/t.cost.value)
}

// IsLong reports whether a request of the given cost, in output-token equivalents,
// is long compared with the responses observed.
func (l *LengthEstimator) IsLong(cost float64) bool { return l.typicalCost.isLong(cost) }
