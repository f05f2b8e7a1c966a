package admission

import (
	"math"
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

const (
	// minRetry is the shortest suggested wait before a retry.
	minRetry = 250 * time.Millisecond
	// waitMargin multiplies the predicted wait before it is compared with the
	// deadline.
	waitMargin = 1.5
)

// Core is the line of one entry: a queue per class, served by place and then by
// weighted fair sharing of cost. Callers serialise access.
type Core struct {
	queues  map[string]*queue
	order   []*queue
	virtual map[int]float64
	running map[uint64]*Item
	// total measures the rate of all classes together.
	total drain
}

// NewCore returns a core without classes.
func NewCore() *Core {
	return &Core{
		queues:  map[string]*queue{},
		virtual: map[int]float64{},
		running: map[uint64]*Item{},
	}
}

// SetClasses applies a table. share returns the entry's part of a class's
// limits, 0 to 1, and whether the leader leased it. It returns a refusal for
// each item that waited in a class that is gone.
func (c *Core) SetClasses(classes []table.Class, share func(class string) (part float64, leased bool)) []Refusal {
	for _, q := range c.queues {
		q.removed = true
	}
	for _, row := range classes {
		q := c.queues[row.Name]
		if q == nil {
			q = &queue{}
			c.queues[row.Name] = q
		}
		part, leased := share(row.Name)
		q.class, q.limits, q.removed = row, scale(row, part, leased), false
	}
	refused := c.dropRemoved()
	c.order = c.order[:0]
	for _, q := range c.queues {
		c.order = append(c.order, q)
	}
	slices.SortFunc(c.order, byPlaceThenName)
	return refused
}

func byPlaceThenName(a, b *queue) int {
	if a.class.Priority != b.class.Priority {
		return a.class.Priority - b.class.Priority
	}
	if a.class.Name < b.class.Name {
		return -1
	}
	return 1
}

// dropRemoved refuses what waits in removed classes and forgets the idle ones.
func (c *Core) dropRemoved() []Refusal {
	var refused []Refusal
	for name, q := range c.queues {
		if !q.removed {
			continue
		}
		for len(q.waiting) > 0 {
			refused = append(refused, Refusal{Item: *q.take(0), Reason: UnknownClass})
		}
		if q.running == 0 {
			delete(c.queues, name)
		}
	}
	return refused
}

// Arrive puts an item in line, or refuses it. The item may still be granted at
// once: call Grant next, then Overfull.
func (c *Core) Arrive(now time.Time, it Item) (Refusal, bool) {
	q := c.queues[it.Class]
	if q == nil || q.removed {
		return Refusal{Item: it, Reason: UnknownClass}, false
	}
	q.demand.add(now, 1)
	c.measure(now, q)
	it.trial = q.running == 0 && len(q.waiting) == 0
	if r, ok := c.check(now, q, it); !ok {
		return r, false
	}
	q.push(&it, c.virtual[q.class.Priority])
	return Refusal{}, true
}

// measure closes the windows of the class's and the whole drain rate.
func (c *Core) measure(now time.Time, q *queue) {
	q.drain.update(now, len(q.waiting) > 0)
	c.total.update(now, c.Waiting() > 0)
}

// check applies the limits that refuse at arrival. The rate comes last, so that
// an item refused for another reason uses none of it.
func (c *Core) check(now time.Time, q *queue, it Item) (Refusal, bool) {
	wait := time.Duration(waitMargin * float64(c.wait(now, q)))
	switch {
	case q.class.Tokens > 0 && it.Tokens > q.class.Tokens:
		return Refusal{Item: it, Reason: TooManyTokens}, false
	case it.late(now, 0):
		return Refusal{Item: it, Reason: Expired}, false
	case it.late(now, wait):
		return Refusal{Item: it, Reason: TooMuchWait, RetryAfter: excess(now, it, wait)}, false
	case len(q.waiting) > q.limits.queue:
		return Refusal{Item: it, Reason: QueueFull, RetryAfter: max(minRetry, wait)}, false
	}
	if q.limits.rate <= 0 {
		return Refusal{}, true
	}
	if retry, ok := q.bucket.take(now, q.limits.rate); !ok {
		return Refusal{Item: it, Reason: RateExceeded, RetryAfter: max(minRetry, retry)}, false
	}
	return Refusal{}, true
}

// excess returns how long the line needs to shrink until the item would fit.
func excess(now time.Time, it Item, wait time.Duration) time.Duration {
	over := now.Add(wait + it.Service).Sub(it.Deadline)
	return min(max(minRetry, over), maxWait)
}

// Overfull removes the item again when it still waits and the class has more
// waiting than its queue limit. It returns whether it did.
func (c *Core) Overfull(now time.Time, id uint64, class string) (Refusal, bool) {
	q := c.queues[class]
	if q == nil || len(q.waiting) <= q.limits.queue {
		return Refusal{}, false
	}
	i := q.find(id)
	if i < 0 {
		return Refusal{}, false
	}
	it := q.take(i)
	wait := c.wait(now, q)
	return Refusal{Item: *it, Reason: QueueFull, RetryAfter: max(minRetry, wait)}, true
}

func (q *queue) find(id uint64) int {
	return slices.IndexFunc(q.waiting, func(it *Item) bool { return it.ID == id })
}

// Cancel removes a waiting item and reports whether it was still waiting.
func (c *Core) Cancel(id uint64, class string) bool {
	q := c.queues[class]
	if q == nil {
		return false
	}
	i := q.find(id)
	if i < 0 {
		return false
	}
	q.take(i)
	return true
}

// Predict replaces the predicted service time of every waiting item, so that
// what was learned since its arrival counts.
func (c *Core) Predict(service func(id uint64) time.Duration) {
	for _, q := range c.order {
		for _, it := range q.waiting {
			it.Service = service(it.ID)
		}
	}
}

// Expire refuses the waiting items that can no longer meet their deadline.
func (c *Core) Expire(now time.Time) []Refusal {
	var refused []Refusal
	for _, q := range c.order {
		for i := 0; i < len(q.waiting); {
			if !q.waiting[i].late(now, 0) {
				i++
				continue
			}
			refused = append(refused, Refusal{Item: *q.take(i), Reason: Expired})
		}
	}
	return refused
}

// NextExpiry returns the earliest time at which Expire would refuse an item;
// false when no waiting item has a deadline.
func (c *Core) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, q := range c.order {
		for _, it := range q.waiting {
			if it.Deadline.IsZero() {
				continue
			}
			last := it.latest()
			if next.IsZero() || last.Before(next) {
				next = last
			}
		}
	}
	return next, !next.IsZero()
}

// Grant chooses the next item to run. place puts an item on a server and
// reports whether one had room; it is called in order of precedence until it
// returns true. Grant returns false when nothing can run now.
func (c *Core) Grant(now time.Time, place func(Item) bool) (Item, bool) {
	for first := 0; first < len(c.order); {
		last := first
		for last < len(c.order) && c.order[last].class.Priority == c.order[first].class.Priority {
			last++
		}
		if it, ok := c.grantPlace(now, c.order[first:last], place); ok {
			return it, true
		}
		first = last
	}
	return Item{}, false
}

// grantPlace serves the classes of one place in order of their start tags.
func (c *Core) grantPlace(now time.Time, group []*queue, place func(Item) bool) (Item, bool) {
	tried := make([]bool, len(group))
	for {
		best := nextByTag(group, tried)
		if best < 0 {
			return Item{}, false
		}
		tried[best] = true
		q := group[best]
		c.measure(now, q)
		if it, ok := c.grantFrom(now, q, place); ok {
			c.passOver(group, tried, best)
			return it, true
		}
	}
}

func nextByTag(group []*queue, tried []bool) int {
	best := -1
	for i, q := range group {
		if tried[i] || len(q.waiting) == 0 {
			continue
		}
		if best < 0 || q.start < group[best].start {
			best = i
		}
	}
	return best
}

// grantFrom grants the first placeable item among the class's first few.
func (c *Core) grantFrom(now time.Time, q *queue, place func(Item) bool) (Item, bool) {
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
		q.take(i)
		c.virtual[q.class.Priority] = math.Max(c.virtual[q.class.Priority], q.grant(it))
		c.running[it.ID] = it
		c.total.grant(it.Cost)
		q.used.add(now, it.Cost)
		return *it, true
	}
	return Item{}, false
}

// passOver bounds the lag of the classes that were tried before the granted one.
func (c *Core) passOver(group []*queue, tried []bool, granted int) {
	for i, q := range group {
		if tried[i] && i != granted {
			q.catchUp(c.virtual[q.class.Priority])
		}
	}
}

// Release ends a granted item. actual is the work that it took, in the unit of
// Cost; the class is charged the difference. Unknown ids are ignored.
func (c *Core) Release(now time.Time, id uint64, actual float64) {
	it := c.running[id]
	if it == nil {
		return
	}
	delete(c.running, id)
	q := c.queues[it.Class]
	q.release(it, actual)
	c.measure(now, q)
	if q.removed && q.running == 0 {
		delete(c.queues, it.Class)
		c.order = slices.DeleteFunc(c.order, func(o *queue) bool { return o == q })
	}
}

// ClassLoad is the present state of one class at this entry.
type ClassLoad struct {
	Class            string
	Running, Waiting int
	// Rate is the arrivals per second, refused ones included.
	Rate float64
	// Wait is the predicted wait of a new arrival.
	Wait time.Duration
}

// Loads returns the state of every class in order of place and name.
func (c *Core) Loads(now time.Time) []ClassLoad {
	out := make([]ClassLoad, 0, len(c.order))
	for _, q := range c.order {
		q.demand.add(now, 0)
		out = append(out, ClassLoad{
			Class:   q.class.Name,
			Running: q.running,
			Waiting: len(q.waiting),
			Rate:    q.demand.rate,
			Wait:    c.wait(now, q),
		})
	}
	return out
}

// Waiting returns the number of items in line.
func (c *Core) Waiting() int {
	total := 0
	for _, q := range c.order {
		total += len(q.waiting)
	}
	return total
}
