package admission

import "time"

// Item is the part of a request that admission depends on.
type Item struct {
	// ID identifies the item; the caller keeps it unique.
	ID uint64
	// Class is the name of a class in the table.
	Class string
	// Cost is the estimated work, in output-token equivalents.
	Cost float64
	// Tokens is the estimated number of prompt and output tokens.
	Tokens int
	// Arrived is the time of arrival.
	Arrived time.Time
	// Deadline is the time by which the response must be complete; zero means none.
	Deadline time.Time
	// ReservedTime is the time to keep free before the deadline for running the item.
	ReservedTime time.Duration
	// probe says that ReservedTime is ignored. An item that arrives at an idle class is
	// a probe: without probes, a reserved time that is too long could refuse every item
	// of the class, so that none would run and correct the estimate behind it.
	probe bool
}

// missesDeadline reports whether the item misses its deadline if it is granted
// after wait.
func (it *Item) missesDeadline(now time.Time, wait time.Duration) bool {
	if it.Deadline.IsZero() {
		return false
	}
	return now.Add(wait).After(it.latestStart())
}

// latestStart returns the latest time of a grant that still meets the deadline.
func (it *Item) latestStart() time.Time {
	if it.probe {
		return it.Deadline
	}
	return it.Deadline.Add(-it.ReservedTime)
}

// Reason says why an item was refused.
type Reason uint8

// The reasons for a refusal.
const (
	// UnknownClass means that the table has no such class.
	UnknownClass Reason = iota
	// RateExceeded means that the class's request rate is exceeded.
	RateExceeded
	// QueueFull means that the class's queue is full.
	QueueFull
	// WaitTooLong means that the item would miss its deadline after the predicted wait.
	WaitTooLong
	// TooManyTokens means that the item alone exceeds the class's token limit.
	TooManyTokens
	// Expired means that the item would miss its deadline even if granted now.
	Expired
)

// Refusal says why an item will not run. A refused item has never run.
type Refusal struct {
	Item   Item
	Reason Reason
	// RetryAfter is the suggested wait before a retry; zero means that a retry is of no
	// use.
	RetryAfter time.Duration
}
