// Package roles plans engine roles from the demand for prefill and decode. It is pure: no I/O, no clock, no goroutine.
package roles
