// Package admission decides which requests of an entry queue, run or are
// refused, by class priorities, weighted fair queuing, class limits, deadlines
// and retry budgets. It also divides the classes' fleet-wide limits among the
// entries. An entry is the part of a daemon that accepts callers' requests. The
// package is pure: it does no I/O, reads no clock and starts no goroutine.
package admission
