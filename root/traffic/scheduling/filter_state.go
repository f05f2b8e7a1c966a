package scheduling

import "github.com/wagtaildyke/wagtaildyke/root/control/fleet"

// StateFilter keeps active servers.
type StateFilter struct{}

// Keep implements Filter.
func (StateFilter) Keep(_ *Request, c *Candidate) bool {
	return c.Server.State == fleet.Active
}
