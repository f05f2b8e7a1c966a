package scheduling

import "math"

const (
	// lengthSmoothing is the weight of a new response in the averages.
	lengthSmoothing = 0.05
	// highQuantile is the quantile that is estimated beside the mean.
	highQuantile = 0.995
	// quantileStep is the step of the quantile's stochastic approximation, relative
	// to the mean.
	quantileStep = 0.2
	// defaultOutputTokens is the length assumed before the first response.
	defaultOutputTokens = 256
	// maxEstimates bounds the number of estimates, those of whole classes included.
	// Only those of callers are evicted.
	maxEstimates = 8192
	// minMeanSamples is the number of responses from which a mean is used: that of a
	// caller's lengths instead of its class's, and the typical cost to decide which
	// requests are long. minQuantileSamples is the number of responses from which a
	// caller's own quantile replaces that of its class.
	minMeanSamples     = 8
	minQuantileSamples = 100
)

// Estimate is the expected length of a response, in tokens.
type Estimate struct {
	// Mean is the average length, High the 99.5th percentile.
	Mean, High float64
}

type lengthKey struct{ class, caller string }

type lengthEstimate struct {
	Estimate
	samples int
}

func (l *lengthEstimate) observe(tokens float64) {
	l.samples++
	if l.samples == 1 {
		l.Mean, l.High = tokens, tokens
		return
	}
	weight := math.Max(lengthSmoothing, 1/float64(l.samples))
	l.Mean += weight * (tokens - l.Mean)
	if tokens > l.High {
		l.raise()
		return
	}
	l.High = math.Max(l.Mean, l.High-l.step()*(1-highQuantile))
}

func (l *lengthEstimate) step() float64 { return quantileStep * math.Max(1, l.Mean) }

func (l *lengthEstimate) raise() { l.High += l.step() * highQuantile }

// LengthEstimator estimates the length of responses by class and caller, and decides
// by their cost which requests are long.
type LengthEstimator struct {
	estimates   map[lengthKey]*lengthEstimate
	typicalCost typicalCost
}

// NewLengthEstimator returns an estimator without samples.
func NewLengthEstimator() *LengthEstimator {
	return &LengthEstimator{estimates: map[lengthKey]*lengthEstimate{}}
}

// Observe adds the length of a complete response.
func (l *LengthEstimator) Observe(class, caller string, tokens int) {
	l.lookup(lengthKey{class: class}).observe(float64(tokens))
	l.lookup(lengthKey{class, caller}).observe(float64(tokens))
}

// ObserveTruncated adds the length of a response that was cut off. It doesn't
// change the mean, but raises the quantile if the response was longer than that:
// otherwise responses cut off at their deadline would keep the quantile too low.
func (l *LengthEstimator) ObserveTruncated(class, caller string, tokens int) {
	for _, key := range []lengthKey{{class: class}, {class, caller}} {
		if known := l.estimates[key]; known != nil && float64(tokens) > known.High {
			known.raise()
		}
	}
}

// lookup returns the estimate for a key and adds it if there is none.
func (l *LengthEstimator) lookup(key lengthKey) *lengthEstimate {
	e := l.estimates[key]
	if e != nil {
		return e
	}
	if len(l.estimates) >= maxEstimates {
		l.evict()
	}
	e = &lengthEstimate{}
	l.estimates[key] = e
	return e
}

// evict removes the estimate of an arbitrary caller; that of its class remains.
func (l *LengthEstimator) evict() {
	for key := range l.estimates {
		if key.caller != "" {
			delete(l.estimates, key)
			return
		}
	}
}

// Estimate returns the estimate for a class and caller. A positive maxOutput, the
// request's own limit, bounds it.
func (l *LengthEstimator) Estimate(class, caller string, maxOutput int) Estimate {
	e := Estimate{Mean: defaultOutputTokens, High: 2 * defaultOutputTokens}
	if known := l.estimates[lengthKey{class: class}]; known != nil {
		e = known.Estimate
	}
	if known := l.estimates[lengthKey{class, caller}]; known != nil && known.samples >= minMeanSamples {
		e.Mean = known.Mean
		e.High = math.Max(e.High, known.High)
		if known.samples >= minQuantileSamples {
			e.High = known.High
		}
	}
	if maxOutput > 0 {
		e.Mean = math.Min(e.Mean, float64(maxOutput))
		e.High = math.Min(e.High, float64(maxOutput))
	}
	return e
}
