package scheduling

import "math/rand/v2"

// TwoChoices picks the better of two random candidates and of the one with the
// best prefix overlap. Random choices keep entries that see the same lagged
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
	if holder := mostOverlap(candidates); holder >= 0 {
		best = better(scores, best, holder)
	}
	return best
}

func better(scores []float64, a, b int) int {
	if scores[b] < scores[a] {
		return b
	}
	return a
}

// mostOverlap returns the candidate with the largest overlap, or -1 without any.
func mostOverlap(candidates []Candidate) int {
	best, overlap := -1, 0.0
	for i := range candidates {
		if candidates[i].Overlap > overlap {
			best, overlap = i, candidates[i].Overlap
		}
	}
	return best
}
