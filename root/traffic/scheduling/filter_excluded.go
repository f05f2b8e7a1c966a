package scheduling

import "slices"

// ExcludedFilter removes the servers that the request asks to avoid.
type ExcludedFilter struct{}

// Keep implements Filter.
func (ExcludedFilter) Keep(w *Work, c *Candidate) bool {
	return !slices.Contains(w.Exclude, c.Server.ID)
}
