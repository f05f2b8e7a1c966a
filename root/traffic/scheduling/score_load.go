package scheduling

import "math"

// LoadScorer prefers servers with a smaller used share of their slots. Requests
// that queue on the server count twice, and load on a slow server counts in
// proportion to its slowness.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(_ *Request, c *Candidate) float64 {
	slots := math.Max(1, float64(c.Server.Slots))
	return (c.Running() + 2*c.Queued) / slots * math.Max(1, c.Slowness)
}
