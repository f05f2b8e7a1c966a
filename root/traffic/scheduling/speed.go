package scheduling

import (
	"math"
	"slices"
	"time"
)

const (
	// speedWeight is the weight of a new observation in one server's averages.
	speedWeight = 0.15
	// fleetWeight is the weight of a new observation in the averages over all
	// servers.
	fleetWeight = 0.005
	// minSpeedSeen is the number of observations before a server is judged.
	minSpeedSeen = 4
	// slowThreshold is the slowness at which a server gets probes only.
	slowThreshold = 2.0
	// stallDiscount divides the time without a token before it counts as an
	// observed gap, because one long step is no slowdown.
	stallDiscount = 3.0
	// firstTokenBase is the part of the first-token time that does not depend
	// on the prompt, in output-token equivalents.
	firstTokenBase = 4.0
	// firstTokenDiscount divides a first-token ratio, which queueing disturbs.
	firstTokenDiscount = 2.0
	// minProbe and maxProbe bound the time between probes of a slow server.
	minProbe = 4 * time.Second
	maxProbe = 32 * time.Second
	// speedMemory is the age past which observations of a server are dropped.
	speedMemory = 5 * time.Minute
)

// average is an exponentially weighted moving average. It starts as the plain
// mean.
type average struct {
	value float64
	seen  int
}

func (a *average) observe(v, least float64) {
	a.seen++
	weight := math.Max(least, 1/float64(a.seen))
	a.value += weight * (v - a.value)
}

// pace is an observed speed in seconds: per unit of first-token work and per
// output token.
type pace struct {
	first, gap average
}

// firstUnits is the work up to the first token, in output-token equivalents.
func firstUnits(promptTokens int, overlap float64) float64 {
	return firstTokenBase + prefillWeight*float64(promptTokens)*(1-overlap)
}

// predict returns the time for a whole answer; 0 before any observation.
func (p *pace) predict(promptTokens int, output float64) time.Duration {
	seconds := p.first.value*firstUnits(promptTokens, 0) + p.gap.value*output
	return time.Duration(seconds * float64(time.Second))
}

// speed is what this entry observes of one server's speed.
type speed struct {
	pace
	// lastToken is the time of the last token of any stream.
	lastToken time.Time
	// streams counts the requests that have had their first token.
	streams int
	// probeAt is the earliest time of the next probe, probeWait the back-off.
	probeAt   time.Time
	probeWait time.Duration
}

// gapNow returns the observed time between tokens, raised by a present stall.
func (s *speed) gapNow(now time.Time) float64 {
	gap := s.gap.value
	if s.streams > 0 && !s.lastToken.IsZero() {
		stalled := now.Sub(s.lastToken).Seconds() / stallDiscount
		gap = math.Max(gap, stalled)
	}
	return gap
}

// known reports whether the server has enough observations to be judged.
func (s *speed) known(now time.Time) bool {
	return s.gap.seen >= minSpeedSeen && now.Sub(s.lastToken) < speedMemory
}

// slowness compares the server with the medians of its fleet.
func (s *speed) slowness(now time.Time, gapMedian, firstMedian float64) float64 {
	worst := 1.0
	if s.known(now) && gapMedian > 0 {
		worst = s.gapNow(now) / gapMedian
	}
	if s.first.seen >= minSpeedSeen && firstMedian > 0 {
		worst = math.Max(worst, s.first.value/firstMedian/firstTokenDiscount)
	}
	return worst
}

// probeDue reports whether a slow server may be probed now.
func (s *speed) probeDue(now time.Time) bool {
	return !now.Before(s.probeAt)
}

// probed delays the next probe; the wait doubles while the server stays slow.
func (s *speed) probed(now time.Time) {
	s.probeWait = min(max(minProbe, 2*s.probeWait), maxProbe)
	s.probeAt = now.Add(s.probeWait)
}

// healthy resets the back-off between probes.
func (s *speed) healthy(now time.Time) {
	s.probeWait = 0
	s.probeAt = now.Add(minProbe)
}

// lowMedian returns the lower median of the values, or 0 with fewer than two.
func lowMedian(values []float64) float64 {
	if len(values) < 2 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

const (
	// hedgeFactor multiplies the expected first-token time before a second
	// attempt is worthwhile.
	hedgeFactor = 4.0
	// minHedge and maxHedge bound that wait.
	minHedge = 100 * time.Millisecond
	maxHedge = 10 * time.Second
)

// hedgeAfter returns the wait for a first token past which a second attempt is
// worthwhile; 0 before any observation.
func (p *pace) hedgeAfter(promptTokens int) time.Duration {
	if p.first.seen < minSpeedSeen {
		return 0
	}
	expected := p.first.value * firstUnits(promptTokens, 0)
	wait := time.Duration(hedgeFactor * expected * float64(time.Second))
	return min(max(minHedge, wait), maxHedge)
}
