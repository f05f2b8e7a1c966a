// Package dispatch admits requests of traffic classes and gives each a slot on a
// backend server. State holds the decisions and is pure; Dispatcher makes it safe
// for concurrent use, blocks callers while their requests are queued and runs the
// timer for their deadlines.
package dispatch
