// Package authority implements the lock under which a process may issue orders
// to a backend server. Each server's lock has at most one holder, and every
// grant and order gets a fencing token that increases per server. The state
// machine is deterministic: it does no I/O, reads no clock and starts no
// goroutines. The caller applies the same operations in the same order on every
// replica.
package authority
