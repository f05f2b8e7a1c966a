// Package routes holds the operators' routing document, which says which requests
// go to which services, whether they may be retried, and how long a caller may
// wait. The highest version is the current one. The package does no I/O, reads no
// clock and starts no goroutines.
package routes

import (
	"strings"
	"time"
)

// Kind classifies the requests of a route by how they may be retried.
type Kind uint8

// The kinds of request.
const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Unsafe requests run at most once for each request that a caller sends.
	Unsafe
	// Stream requests return a stream of numbered events. They run at most once
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

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name string
	// Host is the caller's host name without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout limits the time to the complete response.
	Timeout time.Duration
	// LatencyObjective is the objective for the time to the response, or to the first
	// event of a stream; 0 if there is none.
	LatencyObjective time.Duration
	// GapObjective is the objective for the longest pause between two events of a
	// stream; 0 if there is none.
	GapObjective time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts limits how often one request of a caller is sent to backend
	// servers; 0 means 1.
	MaxAttempts int
	// DescribesPrompt is set if requests list the parts of their prompt, so that the
	// KV cache of leading parts can be reused. The system doesn't use it: it is only
	// stored and sent to the VMs.
	DescribesPrompt bool
	// Resumable is set if a stream may be resumed on another backend server.
	Resumable bool
	// Public is set if requests need no key of a tenant.
	Public bool
	// Split distributes the requests over services by weight.
	Split []WeightedService
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// WeightedService is the weight of one service in the traffic split of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a group of backend servers that announce its name.
type Service struct {
	Name string
	// HealthPath is the path of the health check on each backend server. The system
	// doesn't use it: it is only stored and sent to the VMs.
	HealthPath string
	// MaxConnections limits the connections to one backend server from all VMs
	// together; 0 means no limit.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the language-model engines of a service. The placement of
// requests uses CacheTokens; the other fields are only stored and sent to the VMs.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the size of an engine's KV cache in tokens.
	CacheTokens int
	// CacheTokenBytes is the size of one token in the KV cache.
	CacheTokenBytes int
	// LinkMbps is the bandwidth for transferring KV cache between engines, in
	// Mbit/s.
	LinkMbps float64
	// SupportsMove and SupportsBackup say whether running requests can be moved to
	// another engine and backed up.
	SupportsMove, SupportsBackup bool
	// TokensPerEvent is the usual number of tokens in one event of a stream.
	TokensPerEvent int
	// HandleLifetime is how long an engine keeps a prefilled KV cache that another
	// engine may fetch by its handle.
	HandleLifetime time.Duration
	// RoleChangeTime is how long an engine is unavailable during a role change.
	RoleChangeTime time.Duration
}

// Limits restricts the size of callers' requests and the idle time of their
// connections.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Document is one version of the routes, services, limits and tenants. It is immutable.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Tenants are the owners of the keys that requests need, except those of public
	// routes. Without tenants no request needs a key.
	Tenants []Tenant
	// Source is the document as the operator sent it, with the keys of the tenants. It is
	// empty in the copies that the leader sends to the VMs.
	Source []byte
}

// Match returns the route of the host whose prefix is the longest one that the
// path starts with.
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

// PickService returns the service for a random number in [0, 1), in proportion to
// the weights.
func (r *Route) PickService(random float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := random * float64(total)
	for _, s := range r.Split {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
