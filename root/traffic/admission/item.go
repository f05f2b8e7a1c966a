package admission

import "time"

// Item is one request as admission sees it.
type Item struct {
	// ID identifies the item; the caller keeps it unique.
	ID uint64
	// Class names a row of the table.
	Class string
	// Cost is the estimated work, in output-token equivalents.
	Cost float64
	// Tokens is the estimated number of prompt and output tokens.
	Tokens int
	// Arrived is the time of arrival.
	Arrived time.Time
	// Deadline bounds the whole answer; zero means no deadline.
	Deadline time.Time
	// Service is the predicted time from grant to the whole answer.
	Service time.Duration
	// trial says that the prediction is not held against the item, because its
	// class runs nothing that could correct it.
	trial bool
}

// late reports whether the item, granted after wait, would pass its deadline.
func (it *Item) late(now time.Time, wait time.Duration) bool {
	if it.Deadline.IsZero() {
		return false
	}
	return now.Add(wait).After(it.latest())
}

// latest returns the last time at which a grant can still meet the deadline.
func (it *Item) latest() time.Time {
	if it.trial {
		return it.Deadline
	}
	return it.Deadline.Add(-it.Service)
}

// Reason says why an item was refused.
type Reason uint8

// The reasons for a refusal.
const (
	// UnknownClass means that the table has no such class.
	UnknownClass Reason = iota
	// RateExceeded means that the class's rate is used up.
	RateExceeded
	// QueueFull means that the class's queue is full.
	QueueFull
	// TooMuchWait means that the predicted wait passes the deadline.
	TooMuchWait
	// TooManyTokens means that the item alone passes the class's token limit.
	TooManyTokens
	// Expired means that the deadline passed, or cannot be met any more.
	Expired
)

// Refusal is a decision not to run an item. The item has not run.
type Refusal struct {
	Item   Item
	Reason Reason
	// RetryAfter is the suggested wait before a retry; zero when none helps.
	RetryAfter time.Duration
}
