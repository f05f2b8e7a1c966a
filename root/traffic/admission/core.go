package admission

import (
	"math"
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

const (
	// minRetryAfter is the shortest suggested wait before a retry.
	minRetryAfter = 250 * time.Millisecond
	// waitSafetyFactor multiplies the predicted wait before it is compared with the
	// deadline.
	waitSafetyFactor = 1.5
	// nextSharesWait is about the time until the leader divides the limits anew.
	nextSharesWait = 500 * time.Millisecond
)

// Core holds the queues of one entry, one for each class. It serves classes in
// strict order of priority and divides the cost granted to classes of equal
// priority by weight. Callers serialise access.
type Core struct {
	queues map[string]*queue
	// byPriority holds the queues ordered by priority, lowest number first, and name.
	byPriority []*queue
	// virtualTime is the virtual time of start-time fair queuing, by priority.
	virtualTime map[int]float64
	running     map[uint64]*Item
	// total is the service rate of all classes together.
	total serviceRate
}

// NewCore returns a core without classes.
func NewCore() *Core {
	return &Core{
		queues:      map[string]*queue{},
		virtualTime: map[int]float64{},
		running:     map[uint64]*Item{},
	}
}

// SetClasses applies the classes of a table. share returns this entry's share of
// a class's limits, 0 to 1, and whether the leader leased it to this entry.
// SetClasses refuses the items that wait in a removed class.
func (c *Core) SetClasses(classes []table.Class, share func(class string) (fraction float64, leased bool)) []Refusal {
	for _, q := range c.queues {
		q.removed = true
	}
	for _, row := range classes {
		q := c.queues[row.Name]
		if q == nil {
			q = &queue{}
			c.queues[row.Name] = q
		}
		fraction, leased := share(row.Name)
		q.class, q.limits, q.removed = row, scaleLimits(row, fraction, leased), false
	}
	refused := c.dropRemoved()
	c.byPriority = c.byPriority[:0]
	for _, q := range c.queues {
		c.byPriority = append(c.byPriority, q)
	}
	slices.SortFunc(c.byPriority, byPriorityThenName)
	return refused
}

func byPriorityThenName(a, b *queue) int {
	if a.class.Priority != b.class.Priority {
		return a.class.Priority - b.class.Priority
	}
	if a.class.Name < b.class.Name {
		return -1
	}
	return 1
}

// dropRemoved refuses the items that wait in removed classes. It deletes those
// classes that run nothing; Release deletes the others.
func (c *Core) dropRemoved() []Refusal {
	var refused []Refusal
	for name, q := range c.queues {
		if !q.removed {
			continue
		}
		for len(q.waiting) > 0 {
			refused = append(refused, Refusal{Item: *q.remove(0), Reason: UnknownClass})
		}
		if q.running == 0 {
			delete(c.queues, name)
		}
	}
	return refused
}

// Enqueue adds an item to the queue of its class or refuses it. It admits one item
// more than the queue limit, because the item may be granted at once: the caller
// calls Grant next and then RefuseOverflow.
func (c *Core) Enqueue(now time.Time, it Item) (Refusal, bool) {
	q := c.queues[it.Class]
	if q == nil || q.removed {
		return Refusal{Item: it, Reason: UnknownClass}, false
	}
	q.arrivals.add(now, 1)
	c.updateRates(now, q)
	it.probe = q.running == 0 && len(q.waiting) == 0
	if r, ok := c.checkLimits(now, q, it); !ok {
		return r, false
	}
	q.push(&it, c.virtualTime[q.class.Priority])
	return Refusal{}, true
}

// updateRates updates the service rates of the class and of all classes.
func (c *Core) updateRates(now time.Time, q *queue) {
	q.serviceRate.update(now, len(q.waiting) > 0)
	c.total.update(now, c.Waiting() > 0)
}

// checkLimits applies the limits that refuse an item at arrival. The request rate
// comes last, so that an item refused here for another reason takes nothing from
// the token bucket. An item that RefuseOverflow refuses later does not return its
// token.
func (c *Core) checkLimits(now time.Time, q *queue, it Item) (Refusal, bool) {
	wait := time.Duration(waitSafetyFactor * float64(c.predictWait(now, q)))
	switch {
	case q.class.Tokens > 0 && it.Tokens > q.class.Tokens:
		return Refusal{Item: it, Reason: TooManyTokens}, false
	case it.missesDeadline(now, 0):
		return Refusal{Item: it, Reason: Expired}, false
	case it.missesDeadline(now, wait):
		return Refusal{Item: it, Reason: WaitTooLong, RetryAfter: excessWait(now, it, wait)}, false
	case len(q.waiting) > q.limits.queue:
		return Refusal{Item: it, Reason: QueueFull, RetryAfter: max(minRetryAfter, wait)}, false
	}
	if q.limits.rate == 0 {
		return Refusal{}, true
	}
	if q.limits.rate < 0 {
		return Refusal{Item: it, Reason: RateExceeded, RetryAfter: nextSharesWait}, false
	}
	if retry, ok := q.bucket.take(now, q.limits.rate); !ok {
		return Refusal{Item: it, Reason: RateExceeded, RetryAfter: max(minRetryAfter, retry)}, false
	}
	return Refusal{}, true
}

// excessWait returns the time by which the wait must shrink for the item to meet its
// deadline, within minRetryAfter and maxWait.
func excessWait(now time.Time, it Item, wait time.Duration) time.Duration {
	over := now.Add(wait + it.ReservedTime).Sub(it.Deadline)
	return min(max(minRetryAfter, over), maxWait)
}

// RefuseOverflow refuses an item that still waits in a queue longer than its limit,
// and reports whether it did.
func (c *Core) RefuseOverflow(now time.Time, id uint64, class string) (Refusal, bool) {
	q := c.queues[class]
	if q == nil || len(q.waiting) <= q.limits.queue {
		return Refusal{}, false
	}
	i := q.find(id)
	if i < 0 {
		return Refusal{}, false
	}
	it := q.remove(i)
	wait := c.predictWait(now, q)
	return Refusal{Item: *it, Reason: QueueFull, RetryAfter: max(minRetryAfter, wait)}, true
}

func (q *queue) find(id uint64) int {
	return slices.IndexFunc(q.waiting, func(it *Item) bool { return it.ID == id })
}

// Cancel removes a waiting item. It returns false if the item does not wait.
func (c *Core) Cancel(id uint64, class string) bool {
	q := c.queues[class]
	if q == nil {
		return false
	}
	i := q.find(id)
	if i < 0 {
		return false
	}
	q.remove(i)
	return true
}

// UpdateReservedTimes replaces the reserved time of every waiting item by one from
// current data.
func (c *Core) UpdateReservedTimes(reservedTime func(id uint64) time.Duration) {
	for _, q := range c.byPriority {
		for _, it := range q.waiting {
			it.ReservedTime = reservedTime(it.ID)
		}
	}
}

// Expire refuses the waiting items that can't meet their deadline any more.
func (c *Core) Expire(now time.Time) []Refusal {
	var refused []Refusal
	for _, q := range c.byPriority {
		for i := 0; i < len(q.waiting); {
			if !q.waiting[i].missesDeadline(now, 0) {
				i++
				continue
			}
			refused = append(refused, Refusal{Item: *q.remove(i), Reason: Expired})
		}
	}
	return refused
}

// NextExpiry returns the earliest time after which Expire refuses an item. It
// returns false if no waiting item has a deadline.
func (c *Core) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, q := range c.byPriority {
		for _, it := range q.waiting {
			if it.Deadline.IsZero() {
				continue
			}
			last := it.latestStart()
			if next.IsZero() || last.Before(next) {
				next = last
			}
		}
	}
	return next, !next.IsZero()
}

// Grant removes the next item to run from its queue. It calls place for candidates
// in order of precedence until place returns true, which means that a server has a
// free slot for the item. Grant returns false if no item can run now.
func (c *Core) Grant(now time.Time, place func(Item) bool) (Item, bool) {
	for first := 0; first < len(c.byPriority); {
		last := first
		for last < len(c.byPriority) && c.byPriority[last].class.Priority == c.byPriority[first].class.Priority {
			last++
		}
		if it, ok := c.grantPriority(now, c.byPriority[first:last], place); ok {
			return it, true
		}
		first = last
	}
	return Item{}, false
}

// grantPriority serves the classes of one priority in order of their start tags.
func (c *Core) grantPriority(now time.Time, group []*queue, place func(Item) bool) (Item, bool) {
	tried := make([]bool, len(group))
	for {
		best := minStartTag(group, tried)
		if best < 0 {
			return Item{}, false
		}
		tried[best] = true
		q := group[best]
		c.updateRates(now, q)
		if it, ok := c.grantClass(now, q, place); ok {
			c.limitSkippedLag(group, tried, best)
			return it, true
		}
	}
}

func minStartTag(group []*queue, tried []bool) int {
	best := -1
	for i, q := range group {
		if tried[i] || len(q.waiting) == 0 {
			continue
		}
		if best < 0 || q.startTag < group[best].startTag {
			best = i
		}
	}
	return best
}

// grantClass grants the first of the class's first lookahead items that place
// accepts. An item that the token limit holds back blocks those behind it.
func (c *Core) grantClass(now time.Time, q *queue, place func(Item) bool) (Item, bool) {
	if q.blocked() {
		return Item{}, false
	}
	for i := range min(lookahead, len(q.waiting)) {
		it := q.waiting[i]
		if !q.fits(it) {
			return Item{}, false
		}
		if !place(*it) {
			continue
		}
		q.remove(i)
		c.virtualTime[q.class.Priority] = math.Max(c.virtualTime[q.class.Priority], q.grant(it))
		c.running[it.ID] = it
		c.total.grant(it.Cost)
		q.grantedCost.add(now, it.Cost)
		return *it, true
	}
	return Item{}, false
}

// limitSkippedLag bounds the lag in virtual time of the classes that were tried
// before the granted one and could not run an item.
func (c *Core) limitSkippedLag(group []*queue, tried []bool, granted int) {
	for i, q := range group {
		if tried[i] && i != granted {
			q.limitLag(c.virtualTime[q.class.Priority])
		}
	}
}

// Release ends a granted item. actual is the work done, in the unit of Cost; the
// class is charged the difference from the estimate. Unknown ids are ignored.
func (c *Core) Release(now time.Time, id uint64, actual float64) {
	it := c.running[id]
	if it == nil {
		return
	}
	delete(c.running, id)
	q := c.queues[it.Class]
	q.release(it, actual)
	c.updateRates(now, q)
	if q.removed && q.running == 0 {
		delete(c.queues, it.Class)
		c.byPriority = slices.DeleteFunc(c.byPriority, func(o *queue) bool { return o == q })
	}
}

// ClassLoad is the load of one class at this entry.
type ClassLoad struct {
	Class            string
	Running, Waiting int
	// Rate is the number of arrivals per second, including refused ones.
	Rate float64
	// Wait is the predicted wait of a new arrival.
	Wait time.Duration
}

// Loads returns the load of every class, ordered by priority and name.
func (c *Core) Loads(now time.Time) []ClassLoad {
	out := make([]ClassLoad, 0, len(c.byPriority))
	for _, q := range c.byPriority {
		q.arrivals.add(now, 0)
		out = append(out, ClassLoad{
			Class:   q.class.Name,
			Running: q.running,
			Waiting: len(q.waiting),
			Rate:    q.arrivals.rate,
			Wait:    c.predictWait(now, q),
		})
	}
	return out
}

// Waiting returns the number of waiting items.
func (c *Core) Waiting() int {
	total := 0
	for _, q := range c.byPriority {
		total += len(q.waiting)
	}
	return total
}
