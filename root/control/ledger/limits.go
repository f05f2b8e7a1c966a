package ledger

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Limits configures the retention and size of a ledger. It is part of the
// replicated state: every replica must use the same values.
type Limits struct {
	// ResponseRetention is how long a response can be replayed after Finish.
	ResponseRetention time.Duration
	// KeyRetention is the age above which a UUIDv7 key can't open a record. A settled
	// record is kept for KeyRetention plus MaxClockSkew.
	KeyRetention time.Duration
	// ClosedRetention is how long a closed attempt is kept.
	ClosedRetention time.Duration
	// MaxKeys limits the number of keys, open ones included.
	MaxKeys int
	// MaxClosed limits the number of closed attempts.
	MaxClosed int
	// MaxResponseBytes limits the body of one recorded response.
	MaxResponseBytes int
	// MaxTotalResponseBytes limits the bodies of all recorded responses together.
	MaxTotalResponseBytes int
}

// DefaultLimits returns the limits that apply unless a snapshot has others.
func DefaultLimits() Limits {
	return Limits{
		ResponseRetention:     time.Hour,
		KeyRetention:          24 * time.Hour,
		ClosedRetention:       2 * time.Minute,
		MaxKeys:               1 << 17,
		MaxClosed:             1 << 15,
		MaxResponseBytes:      128 << 10,
		MaxTotalResponseBytes: 32 << 20,
	}
}

// MaxClockSkew is how far the timestamp of a UUIDv7 key may be ahead of the time
// passed to Begin.
const MaxClockSkew = 5 * time.Minute

// maxDeadVMs limits the number of VMs with a recorded dead incarnation.
const maxDeadVMs = 4096

// maxExpirationsPerCall is how many responses one Expire removes at most; the same
// limit applies separately to keys and to closed attempts.
const maxExpirationsPerCall = 256

func (l Limits) check() error {
	ok := l.ResponseRetention > 0 && l.KeyRetention >= l.ResponseRetention &&
		l.ClosedRetention > 0 && l.MaxKeys > 0 && l.MaxClosed > 0 &&
		l.MaxResponseBytes > 0 && l.MaxTotalResponseBytes >= l.MaxResponseBytes
	if !ok {
		return fault.New(fault.Invalid, part, "ledger limits must be positive, the key retention at least the response retention, and the total response size at least that of one response")
	}
	return nil
}
