package scheduling

import "math"

// LoadScorer prefers servers with a smaller used share of their slots. It counts
// a queue on the server itself twice, and load on a slower server for more.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(_ *Work, c *Candidate) float64 {
	slots := math.Max(1, float64(c.Server.Slots))
	return (c.Running() + 2*c.Queued) / slots * math.Max(1, c.Slowness)
}
