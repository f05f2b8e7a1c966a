// Package machine is the control state machine of one process: it turns events into
// effects. It performs no I/O, reads no clock and starts no goroutines. Its only
// caller is the control loop.
package machine
