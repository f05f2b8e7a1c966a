package admission

import (
	"math"

	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

const (
	// lookahead bounds the items of one class that are tried for a grant, so that an
	// item that no server has a slot for does not block those behind it.
	lookahead = 8
	// maxLagItems bounds the lag in virtual time of a class that is not blocked but ran
	// no item, because no server had a slot or its first item exceeded the tokens left.
	// It is a number of items of the cost of the first one.
	maxLagItems = 4
)

// queue holds the waiting items of one class and accounts for its running ones.
type queue struct {
	class   table.Class
	limits  limits
	waiting []*Item
	// queuedCost is the cost of the waiting items.
	queuedCost float64
	// running counts the running items, tokens the sum of their Tokens.
	running     int
	tokens      int
	bucket      tokenBucket
	serviceRate serviceRate
	// arrivals is the rate of arrivals, grantedCost that of the granted cost.
	arrivals, grantedCost meter
	// startTag is the start tag of the first waiting item in start-time fair queuing,
	// finishTag the finish tag of the last granted one.
	startTag, finishTag float64
	// removed says that the table no longer has the class, which still runs items.
	removed bool
}

func (q *queue) weight() float64 { return math.Max(1, float64(q.class.Weight)) }

// push appends an item. virtualTime is that of the class's priority.
func (q *queue) push(it *Item, virtualTime float64) {
	if len(q.waiting) == 0 {
		q.startTag = math.Max(virtualTime, q.finishTag)
	}
	q.waiting = append(q.waiting, it)
	q.queuedCost += it.Cost
}

// remove removes and returns the waiting item at index i.
func (q *queue) remove(i int) *Item {
	it := q.waiting[i]
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	q.queuedCost -= it.Cost
	if len(q.waiting) == 0 {
		q.queuedCost = 0
	}
	return it
}

// blocked reports whether the class's limits allow no further item to run.
func (q *queue) blocked() bool {
	l := q.limits
	if l.concurrency < 0 || l.tokens < 0 {
		return true
	}
	return l.concurrency > 0 && q.running >= l.concurrency
}

// fits reports whether the token limit allows the item to run. An item larger than
// the entry's share of the limit may run alone.
func (q *queue) fits(it *Item) bool {
	if q.limits.tokens <= 0 || q.running == 0 {
		return true
	}
	return q.tokens+it.Tokens <= q.limits.tokens
}

// grant charges the class for a granted item and returns the start tag that the class
// had before. The virtual time of a priority is the largest one returned so far,
// because a class that lags behind has a smaller start tag.
func (q *queue) grant(it *Item) float64 {
	q.running++
	q.tokens += it.Tokens
	q.serviceRate.grant(it.Cost)
	startTag := q.startTag
	q.finishTag = q.startTag + it.Cost/q.weight()
	q.startTag = q.finishTag
	return startTag
}

// release ends a granted item and corrects its charge to the actual cost.
func (q *queue) release(it *Item, actual float64) {
	q.running--
	q.tokens -= it.Tokens
	correction := (actual - it.Cost) / q.weight()
	q.finishTag += correction
	q.startTag += correction
}

// limitLag bounds how far the class lags behind the virtual time of its priority,
// after a pass in which it ran no item. A blocked class may not lag at all: it gets
// no credit for time in which its limits allow no item to run.
func (q *queue) limitLag(virtualTime float64) {
	floor := virtualTime
	if !q.blocked() && len(q.waiting) > 0 {
		floor -= maxLagItems * q.waiting[0].Cost / q.weight()
	}
	q.startTag = math.Max(q.startTag, floor)
}
