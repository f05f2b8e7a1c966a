// Package roles plans engine roles from the demand for prefill and decode. It
// is pure: no I/O, no clock, no goroutine. Call Plan once for each group of
// engines that serve the same models.
package roles
