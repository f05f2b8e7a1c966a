package scheduling

import "github.com/wagtaildyke/wagtaildyke/root/control/fleet"

// StageFilter keeps engines whose role covers the stage: prefill and mixed engines
// for Prefill, decode and mixed engines for Decode and Whole. It keeps all plain
// servers.
type StageFilter struct{}

// Keep implements Filter.
func (StageFilter) Keep(req *Request, c *Candidate) bool {
	if c.Server.Kind != fleet.Engine {
		return true
	}
	if req.Stage == Prefill {
		return c.Server.Role != fleet.Decode
	}
	return c.Server.Role != fleet.Prefill
}
