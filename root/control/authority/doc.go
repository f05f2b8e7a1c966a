// Package authority holds the right to issue orders to backend servers: leases and fencing numbers. It is pure: no I/O, no clock, no goroutine.
package authority
