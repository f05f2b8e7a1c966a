package scheduling

import "math/rand/v2"

// TwoChoices picks the best of two random candidates and the one with the largest
// prefix overlap. The random choices keep entries that see the same delayed load
// reports from all choosing the same server.
type TwoChoices struct {
	Rand *rand.Rand
}

// Pick implements Picker.
func (p TwoChoices) Pick(candidates []Candidate, scores []float64) int {
	first := p.Rand.IntN(len(candidates))
	second := p.Rand.IntN(len(candidates))
	if second == first {
		second = (second + 1) % len(candidates)
	}
	best := better(scores, first, second)
	if cached := mostOverlap(candidates); cached >= 0 {
		best = better(scores, best, cached)
	}
	return best
}

func better(scores []float64, a, b int) int {
	if scores[b] < scores[a] {
		return b
	}
	return a
}

// mostOverlap returns the index of the candidate with the largest prefix overlap,
// or -1 if none has any.
func mostOverlap(candidates []Candidate) int {
	best, overlap := -1, 0.0
	for i := range candidates {
		if candidates[i].PrefixOverlap > overlap {
			best, overlap = i, candidates[i].PrefixOverlap
		}
	}
	return best
}
