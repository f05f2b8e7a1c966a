package scheduling

// prefillWeight is the engine time of one prompt token relative to one output
// token.
const prefillWeight = 0.05

// PrefixScorer prefers servers that hold more of the prompt in their cache, in
// proportion to the part of the work that this saves.
type PrefixScorer struct{}

// Score implements Scorer.
func (PrefixScorer) Score(w *Work, c *Candidate) float64 {
	prefill := prefillWeight * float64(w.PromptTokens)
	total := prefill + w.Output
	if total <= 0 {
		return 0
	}
	return (1 - c.Overlap) * prefill / total
}
