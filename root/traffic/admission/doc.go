// Package admission decides which requests wait, run or are refused: class limits, weighted fair queues and deadlines. It is pure: no I/O and no goroutine.
package admission
