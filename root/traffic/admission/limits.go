package admission

import (
	"math"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

// rounding absorbs floating-point error when a share is turned into a count.
const rounding = 1e-9

// limits are one entry's part of a class's fleet-wide limits. A zero
// concurrency, rate or tokens is no bound.
type limits struct {
	concurrency int
	rate        float64
	queue       int
	tokens      int
}

// scale returns the entry's part of the class's limits. A default share is at
// least one request, so that an entry without a lease can begin; a leased
// share is exact, so that the entries' parts never add up to more than the
// limit.
func scale(c table.Class, share float64, leased bool) limits {
	l := limits{
		rate:  c.RatePerSecond * share,
		queue: int(math.Ceil(float64(c.Queue)*share - rounding)),
	}
	if c.Queue > 0 {
		// One may wait anywhere: its waiting is the demand that brings a share.
		l.queue = max(1, l.queue)
	}
	l.concurrency = part(c.Concurrency, share, leased)
	l.tokens = part(c.Tokens, share, leased)
	return l
}

// part returns the whole part of limit×share; -1 means that nothing may run.
func part(limit int, share float64, leased bool) int {
	if limit <= 0 {
		return 0
	}
	n := int(math.Floor(float64(limit)*share + rounding))
	if n > 0 {
		return n
	}
	if leased {
		return -1
	}
	return 1
}

// bucket is a token bucket of requests.
type bucket struct {
	level float64
	at    time.Time
}

// refill adds what the rate earned since the last call, up to one second's worth.
func (b *bucket) refill(now time.Time, rate float64) {
	burst := math.Max(1, rate)
	if b.at.IsZero() {
		b.level = burst
	} else {
		b.level += rate * now.Sub(b.at).Seconds()
	}
	b.level = math.Min(b.level, burst)
	b.at = now
}

// take takes one request from the bucket, or returns the wait until it could.
func (b *bucket) take(now time.Time, rate float64) (time.Duration, bool) {
	b.refill(now, rate)
	if b.level >= 1 {
		b.level--
		return 0, true
	}
	return time.Duration((1 - b.level) / rate * float64(time.Second)), false
}
