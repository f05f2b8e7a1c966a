// Package ledger records work that must not repeat, by idempotency key. It is pure: no I/O, no clock, no goroutine.
package ledger
