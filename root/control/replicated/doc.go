// Package replicated is the state machine of the replicated log: the class table,
// the ledger of non-idempotent work, the authority over backend servers, drains,
// fencing settings, routes and the recorded fleet. It is deterministic, without
// I/O, clock or goroutines: replicas that apply the same commands have the same
// state.
package replicated
