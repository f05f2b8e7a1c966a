// Package wagtaildyke is the root of a serving system for a fixed fleet of
// language-model engines and plain services. The supervisor tree starts in
// folder root; the command line is in cmd/wagtaildyke.
package wagtaildyke
