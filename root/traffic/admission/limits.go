package admission

import (
	"math"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

// epsilon absorbs the floating-point error of a share times a limit before rounding.
const epsilon = 1e-9

// limits are one entry's shares of a class's fleet-wide limits. A concurrency, rate
// or tokens of zero means no limit, and one of -1 means that nothing may run or arrive.
type limits struct {
	concurrency int
	rate        float64
	queue       int
	tokens      int
}

// scaleLimits returns the entry's share of the class's limits. Without a lease, each
// concurrency and token limit is at least 1, so that a new entry can serve callers
// before its first lease. Leased shares of the two are rounded down, so that their
// sum over the entries never exceeds the limit; that of the queue is rounded up.
func scaleLimits(c table.Class, share float64, leased bool) limits {
	l := limits{
		rate:  scaleRate(c.RatePerSecond, share),
		queue: int(math.Ceil(float64(c.Queue)*share - epsilon)),
	}
	if c.Queue > 0 {
		// One request may always wait, because an entry gets a share of the limits only
		// for the demand that it reports.
		l.queue = max(1, l.queue)
	}
	l.concurrency = scaleLimit(c.Concurrency, share, leased)
	l.tokens = scaleLimit(c.Tokens, share, leased)
	return l
}

// scaleRate returns rate times share, and -1 for a share of zero of a limit. A rate of
// zero stays zero.
func scaleRate(rate, share float64) float64 {
	if rate > 0 && share <= 0 {
		return -1
	}
	return rate * share
}

// scaleLimit returns limit times share, rounded down. If that is less than one, it
// returns -1 for a leased share, which means that nothing may run, and otherwise 1.
// A limit of zero stays zero.
func scaleLimit(limit int, share float64, leased bool) int {
	if limit <= 0 {
		return 0
	}
	n := int(math.Floor(float64(limit)*share + epsilon))
	if n > 0 {
		return n
	}
	if leased {
		return -1
	}
	return 1
}

// tokenBucket limits the rate of requests. Each request takes one token.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// refill adds the tokens for the time since the last call. The bucket holds the
// tokens of one second, and at least one.
func (b *tokenBucket) refill(now time.Time, rate float64) {
	burst := math.Max(1, rate)
	if b.refilledAt.IsZero() {
		b.tokens = burst
	} else {
		b.tokens += rate * now.Sub(b.refilledAt).Seconds()
	}
	b.tokens = math.Min(b.tokens, burst)
	b.refilledAt = now
}

// take takes one token, or returns the time until one is available.
func (b *tokenBucket) take(now time.Time, rate float64) (time.Duration, bool) {
	b.refill(now, rate)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second)), false
}
