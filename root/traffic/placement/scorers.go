package placement

import (
	"math/rand/v2"
	"time"
)

// weighted is a scorer with its weight in the sum.
type weighted struct {
	Scorer
	weight float64
}

// LoadScorer prefers servers that run a smaller share of their slots, and faster
// ones.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(_ *Work, c *Candidate) float64 {
	return (c.Running + 1) / float64(c.Server.Slots) * c.Slowness
}

// readingUnit is the reading time that weighs as much as a full server.
const readingUnit = 500 * time.Millisecond

// ReadingScorer prefers engines that will have read the prompt sooner.
type ReadingScorer struct{}

// Score implements Scorer.
func (ReadingScorer) Score(w *Work, c *Candidate) float64 {
	if w.Stage == Decode {
		return 0
	}
	return float64(c.Reading) / float64(readingUnit) * c.Slowness
}

// ErrorScorer avoids servers that fail more often than their like.
type ErrorScorer struct{}

// Score implements Scorer.
func (ErrorScorer) Score(_ *Work, c *Candidate) float64 { return c.Errors }

// DomainScorer prefers servers in this entry's failure domain.
type DomainScorer struct{}

// Score implements Scorer.
func (DomainScorer) Score(_ *Work, c *Candidate) float64 {
	if c.Near {
		return 0
	}
	return 1
}

// KeeperScorer prefers the engine that answers prompts with the same first part.
type KeeperScorer struct{}

// Score implements Scorer.
func (KeeperScorer) Score(_ *Work, c *Candidate) float64 {
	if c.Keeper {
		return -1
	}
	return 0
}

// Least picks the lowest score. Scores within Jitter of each other are taken in
// random order, so that entries with equal pictures don't all choose alike.
type Least struct {
	Rand   *rand.Rand
	Jitter float64
}

// Pick implements Picker.
func (p Least) Pick(scores []float64) int {
	best, at := 0.0, -1
	for i, s := range scores {
		s += p.Jitter * p.Rand.Float64()
		if at < 0 || s < best {
			best, at = s, i
		}
	}
	return at
}
