// Package ledger records work that must not repeat, by idempotency key: at
// most one attempt per key is ever allowed to send its request to a backend
// server. It is pure: no I/O, no clock, no goroutine. The caller applies the
// same operations in the same order on every replica.
package ledger
