// Package replicated is the state driven by the log: table, ledger, authority,
// drains and fencing settings. It is pure: no I/O, no clock, no goroutine. Every
// replica that applies the same commands comes to the same state.
package replicated
