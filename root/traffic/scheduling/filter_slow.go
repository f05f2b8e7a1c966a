package scheduling

// SlowFilter removes servers that are much slower than the median, but for a
// probe now and then that finds out whether they have recovered. Where every
// server is slow it removes none.
type SlowFilter struct{}

// Keep implements Filter.
func (SlowFilter) Keep(w *Work, c *Candidate) bool {
	if !isSlow(*c) || c.OnlySlow {
		return true
	}
	return c.Probe && !w.Long
}

func isSlow(c Candidate) bool { return c.Slowness >= slowThreshold }
