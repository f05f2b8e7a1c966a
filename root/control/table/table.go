// Package table holds the operators' table of classes: weights, limits and
// places in line, with compare-and-set versions and change ids. It is pure: no
// I/O, no clock, no goroutine.
package table

import (
	"slices"
	"time"
)

// Class is one row of the table: a class of work.
type Class struct {
	// Name identifies the class; callers name it in a request header.
	Name string
	// Weight is the share of capacity relative to classes at the same place.
	Weight int
	// Place is the place in line; a lower number is served first.
	Place int
	// Concurrency bounds requests in flight over the whole fleet.
	Concurrency int
	// RatePerSecond bounds admitted requests per second over the whole fleet.
	RatePerSecond float64
	// Queue bounds waiting requests over the whole fleet.
	Queue int
	// Tokens bounds estimated tokens in flight over the whole fleet; 0 is no bound.
	Tokens int
	// Deadline bounds the time from arrival to the whole answer.
	Deadline time.Duration
	// Targets are the models or services that the class may use.
	Targets []string
	// Idempotent says whether the work may be run again.
	Idempotent bool
}

// Allows reports whether the class may use the model or service.
func (c Class) Allows(target string) bool {
	return slices.Contains(c.Targets, target)
}

// Table is one version of the whole table. It is immutable once published.
type Table struct {
	// Version counts accepted changes; 0 is the empty table.
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

// Change proposes a whole new table in place of version Base.
type Change struct {
	// ID is chosen by the operator's client; a resend carries the same one.
	ID string
	// Base is the version that the change was made from.
	Base    uint64
	Classes []Class
	// Author is free text for the history.
	Author string
	// At is the time of acceptance as stamped by the leader, Unix milliseconds.
	At int64
}
