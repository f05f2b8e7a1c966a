// Package machine steps the control state: events in, effects out. It is pure: no I/O, no clock, no goroutine.
package machine
