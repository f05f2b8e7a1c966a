// Package routes holds the operators' document of routes: which requests go to
// which services, what may be repeated, and how long a caller may wait. The
// highest version is in force. It is pure: no I/O, no clock, no goroutine.
package routes

import (
	"strings"
	"time"
)

// Kind says what may be repeated of a request.
type Kind uint8

// The kinds of request.
const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Unsafe requests run at most once for each attempt of a caller.
	Unsafe
	// Stream requests are answered by numbered events. They run at most once
	// unless the route is resumable.
	Stream
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Unsafe:
		return "unsafe"
	default:
		return "stream"
	}
}

// Route sends the requests of one host below one path prefix to services.
type Route struct {
	Name string
	// Host is the caller's host name without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the wait for the whole answer.
	Timeout time.Duration
	// Objective is the time to the answer, or to a stream's first event, within
	// which the answer is on time.
	Objective time.Duration
	// MaxGap is the longest pause between two events of a stream on time; 0 for none.
	MaxGap time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the backend servers that one caller's attempt may run on.
	MaxAttempts int
	// Prompt says that requests describe a prompt by its shared parts.
	Prompt bool
	// Resumable says that a stream may go on at another backend server.
	Resumable bool
	// Split divides the requests over services by weight.
	Split []Share
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of backend servers that announce its name.
type Service struct {
	Name string
	// HealthPath answers health checks on each backend server.
	HealthPath string
	// MaxConnections bounds the connections to one backend server from all VMs.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the language-model engines of a service.
type Engine struct {
	// Slots bounds the requests that an engine runs at once.
	Slots int
	// CacheTokens is the size of an engine's KV cache in tokens.
	CacheTokens int
	// CacheTokenBytes is the size of one token's KV cache.
	CacheTokenBytes int
	// LinkMbps is the bandwidth for moving KV cache between engines, Mbit/s.
	LinkMbps float64
	// Moves and Backups say whether running requests can be moved and backed up.
	Moves, Backups bool
	// TokensPerEvent is the usual number of tokens in one event of a stream.
	TokensPerEvent int
	// HandleLifetime is how long a prefilled KV cache is kept for its taker.
	HandleLifetime time.Duration
	// RoleChange is how long a change of role takes an engine away.
	RoleChange time.Duration
}

// Limits bound what callers may send and how long their connections may idle.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Document is one version of all routes and services. It is immutable.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Source is the document as the operator sent it. Views carry none.
	Source []byte
}

// Match returns the route with the longest prefix of the path among those of
// the host.
func (d *Document) Match(host, path string) (*Route, bool) {
	var best *Route
	for i := range d.Routes {
		r := &d.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best, best != nil
}

// Service returns the service with the given name.
func (d *Document) Service(name string) (*Service, bool) {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i], true
		}
	}
	return nil, false
}

// Choose returns the service for a draw in [0,1).
func (r *Route) Choose(draw float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	left := draw * float64(total)
	for _, s := range r.Split {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
