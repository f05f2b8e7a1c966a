package admission

import (
	"math"
	"time"
)

const (
	// maxWait bounds a predicted wait and a suggested retry.
	maxWait = 5 * time.Minute
	// minRate is the least part of the whole rate that a class is taken to get.
	minRate = 0.02
)

// wait predicts the time until a new arrival of the class is granted; 0 while
// nothing is known.
func (c *Core) wait(now time.Time, q *queue) time.Duration {
	rate := q.drain.rate
	if !q.drain.trusted() {
		rate = c.model(now, q)
	}
	if rate <= 0 || q.queued <= 0 {
		return 0
	}
	seconds := math.Min(q.queued/rate, maxWait.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// model returns the cost per second that the class would get by its place and
// weight of the rate last measured with a queue standing.
func (c *Core) model(now time.Time, q *queue) float64 {
	left := c.total.rate
	weights := q.weight()
	for _, o := range c.order {
		switch {
		case o.class.Priority < q.class.Priority:
			o.used.add(now, 0)
			left -= o.used.rate
		case o.class.Priority == q.class.Priority && o != q && len(o.waiting) > 0:
			weights += o.weight()
		}
	}
	left = math.Max(left, minRate*c.total.rate)
	return left * q.weight() / weights
}
