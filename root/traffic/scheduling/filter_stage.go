package scheduling

import "github.com/wagtaildyke/wagtaildyke/root/control/fleet"

// RoleFilter keeps engines whose role covers the stage. A decode engine may run
// whole requests; a prefill engine generates no output.
type RoleFilter struct{}

// Keep implements Filter.
func (RoleFilter) Keep(req *Request, c *Candidate) bool {
	if c.Server.Kind != fleet.Engine {
		return true
	}
	if req.Stage == PrefillOnly {
		return c.Server.Role != fleet.Decode
	}
	return c.Server.Role != fleet.Prefill
}
