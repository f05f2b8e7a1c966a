// Package codec converts between the typed values of the decision packages and
// protobuf. Damaged, unknown or oversized input is an error of kind
// fault.Corrupt, never a panic.
package codec
