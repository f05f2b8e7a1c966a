package ledger

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Limits bounds what a ledger keeps. They are part of the replicated state:
// every replica must use the same.
type Limits struct {
	// AnswerRetention is how long an answer can be replayed after Finish.
	AnswerRetention time.Duration
	// KeyRetention is how long a key is kept after its work was settled.
	KeyRetention time.Duration
	// ClosedRetention is how long a closed attempt is remembered.
	ClosedRetention time.Duration
	// MaxKeys bounds the keys kept, open ones included.
	MaxKeys int
	// MaxClosed bounds the closed attempts remembered.
	MaxClosed int
	// MaxAnswerBytes bounds the body of one recorded answer.
	MaxAnswerBytes int
	// MaxTotalAnswerBytes bounds the bodies of all recorded answers.
	MaxTotalAnswerBytes int
}

// DefaultLimits are the limits of a new ledger.
func DefaultLimits() Limits {
	return Limits{
		AnswerRetention:     time.Hour,
		KeyRetention:        24 * time.Hour,
		ClosedRetention:     2 * time.Minute,
		MaxKeys:             1 << 17,
		MaxClosed:           1 << 15,
		MaxAnswerBytes:      128 << 10,
		MaxTotalAnswerBytes: 32 << 20,
	}
}

// MaxClockSkew is how far the time inside a UUIDv7 key may lie ahead.
const MaxClockSkew = 5 * time.Minute

// maxDead bounds the VMs whose dead incarnations are remembered.
const maxDead = 4096

// maxForgetsPerCall bounds the expiry work of one operation.
const maxForgetsPerCall = 256

func (l Limits) check() error {
	ok := l.AnswerRetention > 0 && l.KeyRetention >= l.AnswerRetention &&
		l.ClosedRetention > 0 && l.MaxKeys > 0 && l.MaxClosed > 0 &&
		l.MaxAnswerBytes > 0 && l.MaxTotalAnswerBytes >= l.MaxAnswerBytes
	if !ok {
		return fault.New(fault.Invalid, part, "the limits contradict each other")
	}
	return nil
}
