package placement

import (
	"slices"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// ExcludedFilter removes the servers that the request excludes. If the request
// requires a certain server, it removes all others.
type ExcludedFilter struct{}

// Keep implements Filter.
func (ExcludedFilter) Keep(req *Request, c *Candidate) bool {
	return !slices.Contains(req.Exclude, c.Server.ID) && (req.RequiredServer == "" || req.RequiredServer == c.Server.ID)
}

// ServiceFilter keeps active servers of the request's service.
type ServiceFilter struct{}

// Keep implements Filter.
func (ServiceFilter) Keep(req *Request, c *Candidate) bool {
	return c.Server.State == fleet.Active && slices.Contains(c.Server.Targets, req.Service)
}

// StageFilter keeps the servers for the request's stage: prefill engines for
// Prefill, all other engines for Decode and Whole, and plain servers for Whole.
type StageFilter struct{}

// Keep implements Filter.
func (StageFilter) Keep(req *Request, c *Candidate) bool {
	if c.Server.Kind != fleet.Engine {
		return req.Stage == Whole
	}
	if req.Stage == Prefill {
		return c.Server.Role == fleet.Prefill
	}
	return c.Server.Role != fleet.Prefill
}

// CapacityFilter removes servers whose slots and queue are full.
type CapacityFilter struct{}

const (
	// engineQueueFactor and plainServerQueueFactor are the requests that may queue at
	// a server for each of its slots. Engines order their queue by priority; a plain
	// server serves in order of arrival, and its requests are short.
	engineQueueFactor      = 1.0
	plainServerQueueFactor = 2.0
)

// Keep implements Filter.
func (CapacityFilter) Keep(_ *Request, c *Candidate) bool {
	factor := plainServerQueueFactor
	if c.Server.Kind == fleet.Engine {
		factor = engineQueueFactor
	}
	return c.Running < float64(c.Server.Slots)*(1+factor)
}
