// Package scheduling chooses the backend server for a request of a traffic class.
// Filters remove the servers that may not take it, scorers rank the rest, and a
// picker takes the best of two random choices and the server that caches most of the
// prompt. The package also holds what the entry, the part of a daemon that accepts
// callers' requests, observes by itself: its own load on each server, the servers'
// speeds, recent prompt prefixes and output lengths. It does no I/O, reads no clock
// and starts no goroutine.
package scheduling
