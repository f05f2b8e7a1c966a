package scheduling

import "math"

const (
	// estimateWeight is the weight of a new answer in the averages.
	estimateWeight = 0.1
	// highQuantile is the quantile kept beside the mean.
	highQuantile = 0.995
	// quantileStep is the relative step of the quantile's approximation.
	quantileStep = 0.2
	// defaultOutput is assumed before any answer is seen, in tokens.
	defaultOutput = 256
	// maxEstimates bounds the remembered pairs of class and caller.
	maxEstimates = 8192
	// minSeen is the number of answers after which a caller's own mean is used
	// in place of its class's, minHighSeen that for the quantile.
	minSeen     = 8
	minHighSeen = 100
	// longOutput is the estimated cost above which work counts as long.
	longOutput = 384
)

// Estimate is a belief about the length of an answer, in tokens.
type Estimate struct {
	Mean, High float64
}

type lengthKey struct{ class, caller string }

type length struct {
	Estimate
	seen int
}

func (l *length) observe(tokens float64) {
	l.seen++
	if l.seen == 1 {
		l.Mean, l.High = tokens, tokens
		return
	}
	weight := math.Max(estimateWeight, 1/float64(l.seen))
	l.Mean += weight * (tokens - l.Mean)
	if tokens > l.High {
		l.raise()
		return
	}
	l.High = math.Max(l.Mean, l.High-l.step()*(1-highQuantile))
}

func (l *length) step() float64 { return quantileStep * math.Max(1, l.Mean) }

func (l *length) raise() { l.High += l.step() * highQuantile }

// Lengths estimates output lengths by class and caller.
type Lengths struct {
	by map[lengthKey]*length
}

// NewLengths returns an estimator that has seen nothing.
func NewLengths() *Lengths { return &Lengths{by: map[lengthKey]*length{}} }

// Observe adds the length of a whole answer.
func (l *Lengths) Observe(class, caller string, tokens int) {
	l.entry(lengthKey{class: class}).observe(float64(tokens))
	l.entry(lengthKey{class, caller}).observe(float64(tokens))
}

// ObserveCut adds an answer that was cut after the given length. It says
// nothing about the mean, but an answer longer than the quantile raises it;
// without that, answers cut at their deadline would keep the quantile too low.
func (l *Lengths) ObserveCut(class, caller string, tokens int) {
	for _, key := range []lengthKey{{class: class}, {class, caller}} {
		if known := l.by[key]; known != nil && float64(tokens) > known.High {
			known.raise()
		}
	}
}

func (l *Lengths) entry(key lengthKey) *length {
	e := l.by[key]
	if e != nil {
		return e
	}
	if len(l.by) >= maxEstimates {
		l.evict()
	}
	e = &length{}
	l.by[key] = e
	return e
}

// evict forgets one caller's estimate; its class's estimate remains.
func (l *Lengths) evict() {
	for key := range l.by {
		if key.caller != "" {
			delete(l.by, key)
			return
		}
	}
}

// Estimate returns the belief for a class and caller, bounded by the request's
// own maximum when that is above zero.
func (l *Lengths) Estimate(class, caller string, maxOutput int) Estimate {
	e := Estimate{Mean: defaultOutput, High: 2 * defaultOutput}
	if known := l.by[lengthKey{class: class}]; known != nil {
		e = known.Estimate
	}
	if known := l.by[lengthKey{class, caller}]; known != nil && known.seen >= minSeen {
		e.Mean = known.Mean
		e.High = math.Max(e.High, known.High)
		if known.seen >= minHighSeen {
			e.High = known.High
		}
	}
	if maxOutput > 0 {
		e.Mean = math.Min(e.Mean, float64(maxOutput))
		e.High = math.Min(e.High, float64(maxOutput))
	}
	return e
}

// Cost returns the work of a request in output-token equivalents.
func Cost(promptTokens int, output float64) float64 {
	return math.Max(1, prefillWeight*float64(promptTokens)+output)
}

// IsLong reports whether work of the given cost counts as long.
func IsLong(cost float64) bool { return cost > longOutput }
