package admission

import "math"

// RetryBudget bounds retries to a share of first attempts, so that retries
// cannot multiply an overload.
type RetryBudget struct {
	// Ratio is the number of retries earned by each first attempt.
	Ratio float64
	// Burst bounds the retries that can be saved up.
	Burst float64
	saved float64
	begun bool
}

// Attempt counts a first attempt.
func (b *RetryBudget) Attempt() {
	b.begin()
	b.saved = math.Min(b.Burst, b.saved+b.Ratio)
}

// Take spends one retry and reports whether the budget had it.
func (b *RetryBudget) Take() bool {
	b.begin()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

func (b *RetryBudget) begin() {
	if !b.begun {
		b.begun = true
		b.saved = b.Burst
	}
}
