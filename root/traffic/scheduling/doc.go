// Package scheduling chooses a backend server for a request by filters, scorers and a picker. It is pure: no I/O and no goroutine.
package scheduling
