package admission

import "math"

// RetryBudget limits retries to a fraction of the requests counted by Deposit, so
// that retries can't amplify an overload. It starts with a balance of Burst.
type RetryBudget struct {
	// Ratio is the number of retries that each deposit adds.
	Ratio float64
	// Burst bounds the balance, in retries.
	Burst       float64
	balance     float64
	initialized bool
}

// Deposit adds Ratio retries to the balance.
func (b *RetryBudget) Deposit() {
	b.initialize()
	b.balance = math.Min(b.Burst, b.balance+b.Ratio)
}

// Take takes one retry from the balance. It returns false if the balance is less than
// one.
func (b *RetryBudget) Take() bool {
	b.initialize()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

func (b *RetryBudget) initialize() {
	if !b.initialized {
		b.initialized = true
		b.balance = b.Burst
	}
}
