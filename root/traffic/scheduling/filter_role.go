package scheduling

import "github.com/wagtaildyke/wagtaildyke/root/control/fleet"

// RoleFilter keeps engines whose role covers the stage. A decode engine may
// run whole requests; a prefill engine may not generate.
type RoleFilter struct{}

// Keep implements Filter.
func (RoleFilter) Keep(w *Work, c *Candidate) bool {
	if c.Server.Kind != fleet.Engine {
		return true
	}
	if w.Stage == PrefillOnly {
		return c.Server.Role != fleet.Decode
	}
	return c.Server.Role != fleet.Prefill
}
