package placement

import "time"

const (
	// prefillSmoothing is the weight of a new sample in the prefill-time model: its
	// memory is about twenty samples.
	prefillSmoothing = 0.05
	// priorTokenTime is the prior for the prefill time per prompt token: that of a slow
	// engine. The model's time per token stays within a tenth and ten times of it.
	priorTokenTime = 20 * time.Microsecond
	// priorWeight is the weight of the prior, in samples.
	priorWeight = 0.2
	// priorTokens is the prompt length of the prior's sample.
	priorTokens = 10_000.0
	// reportLag is the assumed age of the other entries' loads when a view arrives:
	// about half of the interval at which entries report their loads plus half of the
	// interval at which they renew their view.
	reportLag = 400 * time.Millisecond
)

// prefillModel predicts prefill times by linear least squares: a fixed time plus
// a time for each token to process before the first output. Its fields are
// exponentially decayed sums over the samples: their number, tokens, milliseconds,
// squared tokens, and products of tokens and milliseconds.
type prefillModel struct {
	weight, tokens, millis, squares, products float64
}

func (m *prefillModel) observe(tokens float64, prefillTime time.Duration) {
	ms := prefillTime.Seconds() * 1000
	keep := 1 - prefillSmoothing
	m.weight = keep*m.weight + 1
	m.tokens = keep*m.tokens + tokens
	m.millis = keep*m.millis + ms
	m.squares = keep*m.squares + tokens*tokens
	m.products = keep*m.products + tokens*ms
}

// slope returns the time per token in ms.
func (m *prefillModel) slope() float64 {
	prior := priorTokenTime.Seconds() * 1000
	w := m.weight + priorWeight
	// The prior is a sample on a line through the origin.
	tokens := m.tokens + priorWeight*priorTokens
	millis := m.millis + priorWeight*priorTokens*prior
	squares := m.squares + priorWeight*priorTokens*priorTokens
	products := m.products + priorWeight*priorTokens*priorTokens*prior
	spread := squares*w - tokens*tokens
	if spread <= 0 {
		return prior
	}
	slope := (products*w - tokens*millis) / spread
	return max(prior/10, min(slope, prior*10))
}

// predict returns the time until the given number of tokens, those queued before
// the prompt included, is processed.
func (m *prefillModel) predict(tokens float64) time.Duration {
	slope := m.slope()
	fixed := 0.0
	if m.weight > 0 {
		fixed = max(0, (m.millis-slope*m.tokens)/m.weight)
	}
	return time.Duration((fixed + slope*tokens) * float64(time.Millisecond))
}

// tokensIn returns the number of tokens that an engine prefills in the given time.
func (m *prefillModel) tokensIn(d time.Duration) float64 {
	return d.Seconds() * 1000 / m.slope()
}
