package placement

import (
	"math/rand/v2"
	"time"
)

// weightedScorer is a scorer with its weight in the sum.
type weightedScorer struct {
	Scorer
	weight float64
}

// LoadScorer prefers servers with a smaller used share of their slots, and faster
// servers.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(_ *Request, c *Candidate) float64 {
	return (c.Running + 1) / float64(c.Server.Slots) * c.Slowness
}

// prefillTimeUnit is the prefill time that scores as much as a full server.
const prefillTimeUnit = 500 * time.Millisecond

// PrefillTimeScorer prefers engines with a shorter predicted prefill time.
type PrefillTimeScorer struct{}

// Score implements Scorer.
func (PrefillTimeScorer) Score(req *Request, c *Candidate) float64 {
	if req.Stage == Decode {
		return 0
	}
	return float64(c.PrefillTime) / float64(prefillTimeUnit) * c.Slowness
}

// ErrorScorer avoids servers whose error rate is above the median; see
// Candidate.ExcessErrorRate.
type ErrorScorer struct{}

// Score implements Scorer.
func (ErrorScorer) Score(_ *Request, c *Candidate) float64 { return c.ExcessErrorRate }

// DomainScorer prefers servers in this entry's failure domain.
type DomainScorer struct{}

// Score implements Scorer.
func (DomainScorer) Score(_ *Request, c *Candidate) float64 {
	if c.SameDomain {
		return 0
	}
	return 1
}

// DecodeHomeScorer prefers the decode home of the prompt.
type DecodeHomeScorer struct{}

// Score implements Scorer.
func (DecodeHomeScorer) Score(_ *Request, c *Candidate) float64 {
	if c.DecodeHome {
		return -1
	}
	return 0
}

// LowestScore picks the candidate with the lowest score after adding random noise
// of up to Jitter, so that entries with the same information spread their choices
// over servers of about equal score.
type LowestScore struct {
	Rand   *rand.Rand
	Jitter float64
}

// Pick implements Picker.
func (p LowestScore) Pick(scores []float64) int {
	lowest, index := 0.0, -1
	for i, s := range scores {
		s += p.Jitter * p.Rand.Float64()
		if index < 0 || s < lowest {
			lowest, index = s, i
		}
	}
	return index
}
