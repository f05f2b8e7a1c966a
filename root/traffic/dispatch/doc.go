// Package dispatch takes a request from admission to a place on a backend
// server. State holds the decisions and is pure; Dispatcher adds the lock, the
// waiting and the timer around it.
package dispatch
