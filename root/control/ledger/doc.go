// Package ledger records requests by idempotency key, so that at most one
// attempt per key is ever allowed to send its request to a backend server. An
// entry is the VM that accepts a caller's request and begins its attempts.
//
// The state machine is deterministic: it does no I/O, reads no clock and starts no
// goroutines. The caller applies the same operations in the same order on every
// replica.
package ledger
