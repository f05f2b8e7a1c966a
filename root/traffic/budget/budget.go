// Package budget accounts for what callers make this process hold: memory for request heads
// and bodies, and connections. Whatever is held is a claim that grows before it is used. If a
// claim can't grow, the claims that have made no progress for longest are evicted.
package budget

import (
	"container/list"
	"sync"
	"time"
)

// Options are the bounds of a Budget.
type Options struct {
	// Small and Large are the total sizes of the claims up to SmallClaim and of the larger
	// ones. They are separate, so that large claims can't use up what small ones need.
	Small, Large, SmallClaim int64
	// MinStall is how long a claim must have made no progress before it may be evicted.
	MinStall time.Duration
}

// Stats counts what a Budget has refused.
type Stats struct {
	Evicted uint64 `json:"evicted"`
	Refused uint64 `json:"refused"`
	// Used is the total size of the claims.
	Used int64 `json:"used"`
}

// Budget is a bound on the total size of claims.
type Budget struct {
	smallClaim int64
	minStall   time.Duration

	mu           sync.Mutex
	small, large pool
	stats        Stats
}

// pool is the part of a budget for small or for large claims.
type pool struct {
	size, used int64
	// waiting holds the claims that may be evicted, the oldest progress first.
	waiting list.List
}

// New returns a Budget without claims.
func New(o Options) *Budget {
	b := &Budget{smallClaim: o.SmallClaim, minStall: o.MinStall}
	b.small.size, b.large.size = o.Small, o.Large
	return b
}

// Stats returns the current counts.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.stats
	out.Used = b.small.used + b.large.used
	return out
}

// Claim is a part of a Budget.
type Claim struct {
	budget *Budget
	// evict is called without a lock after the claim was evicted.
	evict func()
	// The other fields are guarded by budget.mu.
	pool    *pool
	size    int64
	since   time.Time
	place   *list.Element
	evicted bool
}

// Open returns an empty claim that may be evicted. evict must not block; it is called at
// most once, and not after Settle has returned true.
func (b *Budget) Open(now time.Time, evict func()) *Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := &Claim{budget: b, evict: evict, since: now, pool: &b.small}
	if b.smallClaim == 0 {
		c.pool = &b.large
	}
	c.place = c.pool.waiting.PushBack(c)
	return c
}

// Resize sets the size of a claim. It returns false if that doesn't fit, or if the claim was
// evicted; its size is then unchanged or 0. Making a claim smaller always fits.
func (c *Claim) Resize(size int64, now time.Time) bool {
	b := c.budget
	b.mu.Lock()
	if c.evicted {
		b.mu.Unlock()
		return false
	}
	to := c.pool
	if size > b.smallClaim {
		to = &b.large
	}
	added := size
	if to == c.pool {
		added -= c.size
	}
	victims := b.makeRoom(to, added, c, now)
	fits := added <= 0 || to.used+added <= to.size
	if fits {
		c.pool.used -= c.size
		to.used += size
		c.size = size
		c.moveTo(to)
	} else {
		b.stats.Refused++
	}
	b.mu.Unlock()
	for _, v := range victims {
		v.evict()
	}
	return fits
}

// makeRoom evicts claims of a pool, but not except, until added fits. It evicts none if that
// would not suffice for lack of claims that have stalled for long enough.
func (b *Budget) makeRoom(p *pool, added int64, except *Claim, now time.Time) []*Claim {
	var victims []*Claim
	missing := p.used + added - p.size
	for at := p.waiting.Front(); at != nil && added > 0 && missing > 0; at = at.Next() {
		c := at.Value.(*Claim)
		if now.Sub(c.since) < b.minStall {
			break
		}
		if c != except && c.size > 0 {
			victims = append(victims, c)
			missing -= c.size
		}
	}
	if added <= 0 || missing > 0 {
		return nil
	}
	for _, c := range victims {
		c.evicted = true
		c.leave()
	}
	b.stats.Evicted += uint64(len(victims))
	return victims
}

// moveTo makes the claim one of another pool and keeps its turn to be evicted there.
func (c *Claim) moveTo(to *pool) {
	if c.pool == to {
		return
	}
	if c.place != nil {
		c.pool.waiting.Remove(c.place)
		c.place = to.insert(c)
	}
	c.pool = to
}

// insert adds a claim in the order of progress.
func (p *pool) insert(c *Claim) *list.Element {
	for at := p.waiting.Back(); at != nil; at = at.Prev() {
		if !at.Value.(*Claim).since.After(c.since) {
			return p.waiting.InsertAfter(c, at)
		}
	}
	return p.waiting.PushFront(c)
}

// leave gives back the size of a claim and takes it out of the order of progress.
func (c *Claim) leave() {
	c.pool.used -= c.size
	c.size = 0
	c.settle()
}

func (c *Claim) settle() {
	if c.place != nil {
		c.pool.waiting.Remove(c.place)
		c.place = nil
	}
}

// Progress records progress of a claim that may be evicted.
func (c *Claim) Progress(now time.Time) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.since = now
	if c.place != nil {
		c.pool.waiting.MoveToBack(c.place)
	}
}

// Settle keeps a claim from being evicted from now on. It returns false if it was evicted.
func (c *Claim) Settle() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.settle()
	return !c.evicted
}

// Expose lets a settled claim be evicted again. It counts as progress.
func (c *Claim) Expose(now time.Time) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.since = now
	switch {
	case c.evicted:
	case c.place != nil:
		c.pool.waiting.MoveToBack(c.place)
	default:
		c.place = c.pool.waiting.PushBack(c)
	}
}

// Evicted reports whether the claim was evicted.
func (c *Claim) Evicted() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.evicted
}

// Release ends a claim. It may be called more than once.
func (c *Claim) Release() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.leave()
	// A later Resize must not take anything.
	c.evicted = true
}
