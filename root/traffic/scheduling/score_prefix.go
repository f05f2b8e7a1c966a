package scheduling

// prefillWeight is the engine time of one prompt token relative to one output
// token.
const prefillWeight = 0.05

// PrefixScorer prefers servers whose cache holds more of the prompt, in proportion
// to the share of the request's work that this saves.
type PrefixScorer struct{}

// Score implements Scorer.
func (PrefixScorer) Score(req *Request, c *Candidate) float64 {
	prefill := prefillWeight * float64(req.PromptTokens)
	total := prefill + req.OutputTokens
	if total <= 0 {
		return 0
	}
	return (1 - c.PrefixOverlap) * prefill / total
}
