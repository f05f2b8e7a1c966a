package placement

import "time"

const (
	// readingMemory is the weight of a new call in what is learnt of reading
	// times: some twenty calls.
	readingMemory = 0.05
	// priorTokenTime is the reading time of one prompt token before enough calls
	// were seen: that of a slow engine.
	priorTokenTime = 20 * time.Microsecond
	// priorWeight is the number of calls that the prior counts as.
	priorWeight = 0.2
	// priorTokens is a prompt at which the prior holds.
	priorTokens = 10_000.0
	// reportLag is the time for which a report of peers' queues is under way
	// before it arrives: half a usage interval and half a renewal.
	reportLag = 400 * time.Millisecond
)

// reading learns by least squares how long prompts take to be read: a fixed time
// and a time for each token ahead of the answer.
type reading struct {
	weight, tokens, millis, squares, products float64
}

func (r *reading) observe(tokens float64, took time.Duration) {
	ms := took.Seconds() * 1000
	keep := 1 - readingMemory
	r.weight = keep*r.weight + 1
	r.tokens = keep*r.tokens + tokens
	r.millis = keep*r.millis + ms
	r.squares = keep*r.squares + tokens*tokens
	r.products = keep*r.products + tokens*ms
}

// slope returns the time for one token in ms.
func (r *reading) slope() float64 {
	prior := priorTokenTime.Seconds() * 1000
	w := r.weight + priorWeight
	// The prior is a point on a line through the origin.
	tokens := r.tokens + priorWeight*priorTokens
	millis := r.millis + priorWeight*priorTokens*prior
	squares := r.squares + priorWeight*priorTokens*priorTokens
	products := r.products + priorWeight*priorTokens*priorTokens*prior
	spread := squares*w - tokens*tokens
	if spread <= 0 {
		return prior
	}
	slope := (products*w - tokens*millis) / spread
	return max(prior/10, min(slope, prior*10))
}

// predict returns the time until a prompt is read that waits behind others.
func (r *reading) predict(tokens float64) time.Duration {
	slope := r.slope()
	fixed := 0.0
	if r.weight > 0 {
		fixed = max(0, (r.millis-slope*r.tokens)/r.weight)
	}
	return time.Duration((fixed + slope*tokens) * float64(time.Millisecond))
}

// read returns the tokens that an engine reads in the given time.
func (r *reading) read(d time.Duration) float64 {
	return d.Seconds() * 1000 / r.slope()
}
