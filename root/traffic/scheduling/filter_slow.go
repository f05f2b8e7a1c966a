package scheduling

// SlowFilter removes servers that are much slower than the median, except for
// occasional probes by short requests that detect their recovery. If every server
// is slow, it removes none.
type SlowFilter struct{}

// Keep implements Filter.
func (SlowFilter) Keep(req *Request, c *Candidate) bool {
	if !isSlow(*c) || c.OnlySlow {
		return true
	}
	return c.ProbeDue && !req.Long
}

func isSlow(c Candidate) bool { return c.Slowness >= slowThreshold }
