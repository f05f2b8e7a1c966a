package roles

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Budget is a token bucket, in bytes, that limits the rate at which engines load
// model weights from shared storage. The caller passes the time, which must not run
// backwards. A Budget is not safe for concurrent use.
type Budget struct {
	bytesPerSecond float64
	burst          float64
	// available is negative after a load larger than the burst.
	available float64
	updated   time.Time
}

// NewBudget returns a full bucket. The error is of kind fault.Invalid.
func NewBudget(bytesPerSecond, burstBytes int64, now time.Time) (*Budget, error) {
	if bytesPerSecond <= 0 || burstBytes <= 0 {
		return nil, fault.New(fault.Invalid, part, "a load budget needs a rate and a burst above 0")
	}
	b := &Budget{
		bytesPerSecond: float64(bytesPerSecond),
		burst:          float64(burstBytes),
		available:      float64(burstBytes),
		updated:        now,
	}
	return b, nil
}

// Take withdraws the bytes of one load and returns zero, or withdraws nothing and
// returns the time to wait. A load larger than the burst waits for a full bucket
// and overdraws it.
func (b *Budget) Take(now time.Time, bytes int64) time.Duration {
	b.refill(now)
	need := min(float64(max(bytes, 0)), b.burst)
	if missing := need - b.available; missing > 0 {
		seconds := missing / b.bytesPerSecond
		return time.Duration(seconds*float64(time.Second)) + 1
	}
	b.available -= float64(max(bytes, 0))
	return 0
}

func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.available = min(b.burst, b.available+elapsed.Seconds()*b.bytesPerSecond)
		b.updated = now
	}
}
