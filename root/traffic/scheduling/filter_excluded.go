package scheduling

import "slices"

// ExcludedFilter removes the servers that the request excludes.
type ExcludedFilter struct{}

// Keep implements Filter.
func (ExcludedFilter) Keep(req *Request, c *Candidate) bool {
	return !slices.Contains(req.Exclude, c.Server.ID)
}
