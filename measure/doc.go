// Package measure holds the benchmarks of the decisions under load: admission
// and scheduling run unchanged on virtual time against small stand-in engines.
package measure
