// Package admission decides which of an entry's requests wait, run or are refused, by
// class priorities, weighted fair queuing, class limits and deadlines. It also has
// the budgets for retries and divides the classes' fleet-wide limits among the
// entries. An entry is the part of a daemon that accepts callers' requests. The
// package is pure: it does no I/O, reads no clock and starts no goroutine.
package admission
