package scheduling

// cachePressureThreshold is the used fraction of cache memory above which new
// prompts evict cached ones.
const cachePressureThreshold = 0.9

// CacheScorer avoids servers whose cache memory is nearly full.
type CacheScorer struct{}

// Score implements Scorer.
func (CacheScorer) Score(_ *Request, c *Candidate) float64 {
	used := c.Server.Load.CacheUsed
	if !c.Reported || used <= cachePressureThreshold {
		return 0
	}
	return (used - cachePressureThreshold) / (1 - cachePressureThreshold) * reportWeight(c.ReportAge)
}
