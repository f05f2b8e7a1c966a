package scheduling

// cachePressure is the used fraction of cache memory above which new prompts
// evict cached ones.
const cachePressure = 0.9

// CacheScorer avoids servers whose cache memory is nearly full.
type CacheScorer struct{}

// Score implements Scorer.
func (CacheScorer) Score(_ *Request, c *Candidate) float64 {
	used := c.Server.Load.CacheUsed
	if !c.Reported || used <= cachePressure {
		return 0
	}
	return (used - cachePressure) / (1 - cachePressure) * reportWeight(c.ReportAge)
}
