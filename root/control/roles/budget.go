package roles

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Budget shares the rate of the weight store between loads as a token bucket in
// bytes. The time comes from the caller and never runs backwards. It is not safe
// for concurrent use.
type Budget struct {
	bytesPerSecond float64
	burst          float64
	// available is negative while a load larger than the burst is paid for.
	available float64
	updated   time.Time
}

// NewBudget returns a full budget. The error is of kind fault.Invalid.
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

// Take spends the bytes of one load and returns zero, or spends nothing and
// returns the time to wait. A load larger than the burst waits for a full budget
// and leaves it in debt.
func (b *Budget) Take(now time.Time, bytes int64) time.Duration {
	b.refill(now)
	need := min(float64(max(bytes, 0)), b.burst)
	if short := need - b.available; short > 0 {
		seconds := short / b.bytesPerSecond
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
