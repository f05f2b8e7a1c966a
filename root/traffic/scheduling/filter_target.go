package scheduling

import "slices"

// TargetFilter keeps servers that offer the model or service.
type TargetFilter struct{}

// Keep implements Filter.
func (TargetFilter) Keep(req *Request, c *Candidate) bool {
	return slices.Contains(c.Server.Targets, req.Target)
}
