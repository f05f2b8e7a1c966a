// Package table holds the operators' table of traffic classes: their weights,
// priorities and limits. A change is accepted only if it is based on the current
// version, and retries are recognized by change id. The package does no I/O of its own
// and uses no clock or goroutines.
package table

import (
	"slices"
	"time"
)

// Class is one row of the table: a traffic class.
type Class struct {
	// Name identifies the class. Callers select the class by a request header.
	Name string
	// Weight is the share of capacity relative to other classes of the same priority.
	Weight int
	// Priority orders classes: lower numbers are served first.
	Priority int
	// Concurrency limits the requests in flight across the fleet.
	Concurrency int
	// RatePerSecond limits the admitted requests per second across the fleet.
	RatePerSecond float64
	// Queue limits the waiting requests across the fleet.
	Queue int
	// Tokens limits the estimated tokens in flight across the fleet; 0 means no limit.
	Tokens int
	// Deadline limits the time from arrival to the complete response.
	Deadline time.Duration
	// Targets are the models or services that the class may use.
	Targets []string
	// Idempotent is set if requests may be executed more than once.
	Idempotent bool
}

// Allows reports whether the class may use the model or service.
func (c Class) Allows(target string) bool {
	return slices.Contains(c.Targets, target)
}

// Table is one version of the table. It is immutable once published.
type Table struct {
	// Version counts the accepted changes; 0 is the empty table.
	Version uint64
	Classes []Class
}

// Class returns the row with the given name.
func (t *Table) Class(name string) (Class, bool) {
	for _, c := range t.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// Change proposes a new table to replace version Base.
type Change struct {
	// ID is chosen by the operator's client. A retry carries the same ID.
	ID string
	// Base is the version that the change is based on.
	Base    uint64
	Classes []Class
	// Author is free text for the history.
	Author string
	// At is the time of the change in Unix milliseconds. The leader sets it. If it is
	// before the time of the replicated state, that time replaces it.
	At int64
}
