package scheduling

import (
	"math"
	"slices"
	"time"
)

const (
	// serverSmoothing is the weight of a new sample in one server's averages.
	serverSmoothing = 0.15
	// overallSmoothing is the weight of a new sample in the averages over all servers
	// of a target.
	overallSmoothing = 0.005
	// minSpeedSamples is the number of samples from which a server's speed is
	// compared with others.
	minSpeedSamples = 4
	// slowThreshold is the slowness from which a server gets probes only.
	slowThreshold = 2.0
	// stallDiscount divides the time without a token before it counts as an
	// inter-token time, because a single long gap does not make a server slow.
	stallDiscount = 3.0
	// firstTokenBase is the part of the time to first token that does not depend on
	// the prompt, in output-token equivalents.
	firstTokenBase = 4.0
	// firstTokenDiscount divides the ratio of times to first token, which queueing
	// distorts.
	firstTokenDiscount = 5.0
	// minProbe and maxProbe bound the time between probes of a slow server.
	minProbe = 4 * time.Second
	maxProbe = 32 * time.Second
	// maxSpeedAge is the time after a server's last token from which its inter-token
	// time is ignored.
	maxSpeedAge = 5 * time.Minute
)

// average is an exponentially weighted moving average. The first samples have
// equal weight.
type average struct {
	value   float64
	samples int
}

func (a *average) observe(v, minWeight float64) {
	a.samples++
	weight := math.Max(minWeight, 1/float64(a.samples))
	a.value += weight * (v - a.value)
}

// latencyModel predicts response times from two averages in seconds: the time to
// first token per unit of work, and the time between output tokens.
type latencyModel struct {
	firstToken ratio
	interToken average
}

// ratio is a moving average of an amount per unit, weighted by the units.
type ratio struct {
	amount, units average
}

func (r *ratio) observe(amount, units, minWeight float64) {
	r.amount.observe(amount, minWeight)
	r.units.observe(units, minWeight)
}

func (r *ratio) samples() int { return r.amount.samples }

func (r *ratio) value() float64 {
	if r.units.value == 0 {
		return 0
	}
	return r.amount.value / r.units.value
}

// firstTokenUnits returns the work up to the first token, in output-token
// equivalents.
func firstTokenUnits(promptTokens int, overlap float64) float64 {
	return firstTokenBase + prefillWeight*float64(promptTokens)*(1-overlap)
}

// predict returns the time for a complete response; 0 without samples.
func (m *latencyModel) predict(promptTokens int, output float64) time.Duration {
	seconds := m.firstToken.value()*firstTokenUnits(promptTokens, 0) + m.interToken.value*output
	return time.Duration(seconds * float64(time.Second))
}

// speed is the speed of one server as this entry observes it.
type speed struct {
	latencyModel
	// lastToken is the time of the last token of any stream.
	lastToken time.Time
	// streams counts the running requests that have received their first token.
	streams int
	// nextProbe is the earliest time of the next probe, probeBackoff the current time
	// between probes.
	nextProbe    time.Time
	probeBackoff time.Duration
}

// currentInterToken returns the average inter-token time, or the discounted time
// since the last token if that is larger.
func (s *speed) currentInterToken(now time.Time) float64 {
	interToken := s.interToken.value
	if s.streams > 0 && !s.lastToken.IsZero() {
		stalled := now.Sub(s.lastToken).Seconds() / stallDiscount
		interToken = math.Max(interToken, stalled)
	}
	return interToken
}

// measured reports whether the inter-token time has enough samples and the last
// token is recent.
func (s *speed) measured(now time.Time) bool {
	return s.interToken.samples >= minSpeedSamples && now.Sub(s.lastToken) < maxSpeedAge
}

// slowness returns the larger of two ratios to the medians over the eligible
// servers: that of the inter-token time and the discounted one of the time to first
// token. Without enough samples, the former counts as 1 and the latter is left out.
func (s *speed) slowness(now time.Time, interTokenMedian, firstTokenMedian float64) float64 {
	worst := 1.0
	if s.measured(now) && interTokenMedian > 0 {
		worst = s.currentInterToken(now) / interTokenMedian
	}
	if s.firstToken.samples() >= minSpeedSamples && firstTokenMedian > 0 {
		worst = math.Max(worst, s.firstToken.value()/firstTokenMedian/firstTokenDiscount)
	}
	return worst
}

// probeDue reports whether the server may be probed now if it is slow.
func (s *speed) probeDue(now time.Time) bool {
	return !now.Before(s.nextProbe)
}

// delayProbe schedules the next probe; the delay doubles while the server stays
// slow.
func (s *speed) delayProbe(now time.Time) {
	s.probeBackoff = min(max(minProbe, 2*s.probeBackoff), maxProbe)
	s.nextProbe = now.Add(s.probeBackoff)
}

// resetProbe resets the back-off of a server that is not slow.
func (s *speed) resetProbe(now time.Time) {
	s.probeBackoff = 0
	s.nextProbe = now.Add(minProbe)
}

// lowerMedian returns the lower median of the values, or 0 if there are fewer than
// two.
func lowerMedian(values []float64) float64 {
	if len(values) < 2 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

const (
	// hedgeFactor multiplies the expected time to first token to give the wait after
	// which a second attempt is worthwhile.
	hedgeFactor = 3.0
	// minHedge and maxHedge bound that wait.
	minHedge = 60 * time.Millisecond
	maxHedge = 10 * time.Second
)

// hedgeAfter returns the wait for the first token after which a second attempt is
// worthwhile; 0 without enough samples.
func (m *latencyModel) hedgeAfter(promptTokens int) time.Duration {
	if m.firstToken.samples() < minSpeedSamples {
		return 0
	}
	expected := m.firstToken.value() * firstTokenUnits(promptTokens, 0)
	wait := time.Duration(hedgeFactor * expected * float64(time.Second))
	return min(max(minHedge, wait), maxHedge)
}
