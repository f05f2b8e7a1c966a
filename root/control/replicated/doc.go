// Package replicated is the state driven by the log: table, ledger, authority and membership. It is pure: no I/O, no clock, no goroutine.
package replicated
