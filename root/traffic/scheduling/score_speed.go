package scheduling

import "math"

// SpeedScorer avoids servers that are slower than the median.
type SpeedScorer struct{}

// Score implements Scorer.
func (SpeedScorer) Score(_ *Work, c *Candidate) float64 {
	return math.Max(0, c.Slowness-1)
}
