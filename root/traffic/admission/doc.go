// Package admission decides which requests wait, run or are refused: places in
// line, weighted fair queues, class limits, deadlines and retry budgets. It is
// pure: no I/O, no clock and no goroutine.
package admission
