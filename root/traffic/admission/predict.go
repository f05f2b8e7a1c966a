package admission

import (
	"math"
	"time"
)

const (
	// maxWait bounds predicted waits and the suggested waits before a retry.
	maxWait = 5 * time.Minute
	// minRateShare is the least share of the total service rate that the classes of one
	// priority together are predicted to get.
	minRateShare = 0.02
)

// predictWait returns the predicted time until a new arrival of the class is
// granted; 0 if no service rate was measured yet.
func (c *Core) predictWait(now time.Time, q *queue) time.Duration {
	rate := q.serviceRate.rate
	if !q.serviceRate.reliable() {
		rate = c.predictRate(now, q)
	}
	if rate <= 0 || q.queuedCost <= 0 {
		return 0
	}
	seconds := math.Min(q.queuedCost/rate, maxWait.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// predictRate predicts the class's service rate from the total one: classes of
// higher priority take what they were granted lately, and classes of equal priority
// with waiting items share the rest by weight.
func (c *Core) predictRate(now time.Time, q *queue) float64 {
	remaining := c.total.rate
	weights := q.weight()
	for _, o := range c.byPriority {
		switch {
		case o.class.Priority < q.class.Priority:
			o.grantedCost.add(now, 0)
			remaining -= o.grantedCost.rate
		case o.class.Priority == q.class.Priority && o != q && len(o.waiting) > 0:
			weights += o.weight()
		}
	}
	remaining = math.Max(remaining, minRateShare*c.total.rate)
	return remaining * q.weight() / weights
}
