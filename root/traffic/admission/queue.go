package admission

import (
	"math"

	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

const (
	// lookahead bounds the waiting items of one class tried per grant, so that
	// one that fits no server does not block those behind it.
	lookahead = 8
	// maxLagItems bounds how far a class that could not be placed may fall
	// behind in virtual time, in items of its present cost.
	maxLagItems = 4
)

// queue is one class: its waiting items, what runs, and its virtual time.
type queue struct {
	class   table.Class
	limits  limits
	waiting []*Item
	queued  float64
	running int
	tokens  int
	bucket  bucket
	drain   drain
	// demand meters arrivals, used the granted cost.
	demand, used meter
	// start and finish are the tags of start-time fair queuing.
	start, finish float64
	// removed marks a class that has left the table and still has running work.
	removed bool
}

func (q *queue) weight() float64 { return math.Max(1, float64(q.class.Weight)) }

// push adds an item; virtual is the place's virtual time.
func (q *queue) push(it *Item, virtual float64) {
	if len(q.waiting) == 0 {
		q.start = math.Max(virtual, q.finish)
	}
	q.waiting = append(q.waiting, it)
	q.queued += it.Cost
}

// take removes the waiting item at index i.
func (q *queue) take(i int) *Item {
	it := q.waiting[i]
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	q.queued -= it.Cost
	if len(q.waiting) == 0 {
		q.queued = 0
	}
	return it
}

// blocked reports whether the class's own limits keep every item waiting.
func (q *queue) blocked() bool {
	l := q.limits
	if l.concurrency < 0 || l.tokens < 0 {
		return true
	}
	return l.concurrency > 0 && q.running >= l.concurrency
}

// fits reports whether the token limit lets the item run. An item larger than
// the entry's whole share runs alone.
func (q *queue) fits(it *Item) bool {
	if q.limits.tokens <= 0 || q.running == 0 {
		return true
	}
	return q.tokens+it.Tokens <= q.limits.tokens
}

// grant charges a granted item and returns the place's new virtual time.
func (q *queue) grant(it *Item) float64 {
	q.running++
	q.tokens += it.Tokens
	q.drain.grant(it.Cost)
	virtual := q.start
	q.finish = q.start + it.Cost/q.weight()
	q.start = q.finish
	return virtual
}

// release returns what a granted item held and corrects its charge to actual.
func (q *queue) release(it *Item, actual float64) {
	q.running--
	q.tokens -= it.Tokens
	correction := (actual - it.Cost) / q.weight()
	q.finish += correction
	q.start += correction
}

// catchUp bounds the lag behind the place's virtual time after a pass in which
// the class could not be served.
func (q *queue) catchUp(virtual float64) {
	floor := virtual
	if !q.blocked() && len(q.waiting) > 0 {
		floor -= maxLagItems * q.waiting[0].Cost / q.weight()
	}
	q.start = math.Max(q.start, floor)
}
