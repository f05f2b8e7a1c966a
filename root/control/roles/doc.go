// Package roles plans the roles of engines from the demand for prefill and
// decode. It does no I/O, reads no clock and starts no goroutines. Call Plan once
// for each group of engines that serve the same models. Budget limits the rate at
// which engines load model weights.
package roles
