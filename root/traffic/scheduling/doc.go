// Package scheduling chooses a backend server for a request: filters remove the
// servers that may not take it, scorers rank the rest, and a picker chooses by
// two random choices. It also keeps what the entry observes itself: its own
// load, each server's speed, recent prompt prefixes and output lengths. It is
// pure: no I/O, no clock and no goroutine.
package scheduling
