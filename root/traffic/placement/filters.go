package placement

import (
	"slices"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// ExcludedFilter removes the servers that failed the request, and all but the
// only one that may take it.
type ExcludedFilter struct{}

// Keep implements Filter.
func (ExcludedFilter) Keep(w *Work, c *Candidate) bool {
	return !slices.Contains(w.Exclude, c.Server.ID) && (w.Only == "" || w.Only == c.Server.ID)
}

// ServiceFilter keeps active servers of the work's service.
type ServiceFilter struct{}

// Keep implements Filter.
func (ServiceFilter) Keep(w *Work, c *Candidate) bool {
	return c.Server.State == fleet.Active && slices.Contains(c.Server.Targets, w.Service)
}

// StageFilter keeps engines whose role covers the stage. A decode engine also
// runs whole requests; a prefill engine generates nothing.
type StageFilter struct{}

// Keep implements Filter.
func (StageFilter) Keep(w *Work, c *Candidate) bool {
	if c.Server.Kind != fleet.Engine {
		return w.Stage == Whole
	}
	if w.Stage == Prefill {
		return c.Server.Role == fleet.Prefill
	}
	return c.Server.Role != fleet.Prefill
}

// RoomFilter removes servers that run and queue as much as they may.
type RoomFilter struct{}

const (
	// engineQueue and serviceQueue are the requests that may wait at a server
	// for each one that it runs. Engines admit by urgency; a plain service serves
	// in order, and its requests are short.
	engineQueue  = 1.0
	serviceQueue = 2.0
)

// Keep implements Filter.
func (RoomFilter) Keep(_ *Work, c *Candidate) bool {
	queue := serviceQueue
	if c.Server.Kind == fleet.Engine {
		queue = engineQueue
	}
	return c.Running < float64(c.Server.Slots)*(1+queue)
}
