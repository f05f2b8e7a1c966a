package scheduling

// DomainScorer prefers failure domains with a smaller used share of their slots,
// so that the loss of one domain interrupts fewer requests.
type DomainScorer struct{}

// Score implements Scorer.
func (DomainScorer) Score(_ *Request, c *Candidate) float64 { return c.DomainLoad }
