// Package authority holds the right to issue orders to backend servers. Each
// server has at most one holder, and every grant and order gets a fencing number
// that grows per server. It is pure: no I/O, no clock, no goroutine. The caller
// applies the same operations in the same order on every replica.
package authority
