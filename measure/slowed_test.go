package measure

import (
	"fmt"
	"math"
	"testing"
	"time"
)

const (
	slowedLength = 80 * time.Second
	// slowedFrom is when the servers slow down; reports still say healthy.
	slowedFrom = 20 * time.Second
	// slowedLoad is the offered work as a part of the whole fleet's capacity.
	slowedLoad = 0.5
)

// runSlowed slows the first n engines of one failure domain by factor, or, with
// factor 0, runs the fleet without them.
func runSlowed(d deployment, n int, factor float64, newFront func(*sim, int) front) result {
	offered := d
	level := slowedLoad
	if factor == 0 {
		level *= float64(d.engines) / float64(d.engines-n)
		offered.engines -= n
	}
	s := newSim(offered, newFront)
	offered.load(s, defaultSeed, level, 0, 0, slowedLength)
	if factor > 0 {
		s.at(s.start.Add(slowedFrom), func() {
			for i := range n {
				s.engines[i*d.domains].slow = factor
			}
		})
	}
	s.runUntil(s.start.Add(slowedLength + drainAtTheEnd))
	return sum(s, window{slowedFrom, slowedLength})
}

// tail is the worst class's p99 time to the whole answer against the reference.
func tail(d deployment, r, reference result) float64 {
	worst := 0.0
	for i := range d.classes {
		name := d.classes[i].Name
		worst = math.Max(worst, quantile(r.totals[name], 0.99)/quantile(reference.totals[name], 0.99))
	}
	return worst
}

// firstTail is the same for the first token.
func firstTail(d deployment, r, reference result) float64 {
	worst := 0.0
	for i := range d.classes {
		name := d.classes[i].Name
		worst = math.Max(worst, quantile(r.firsts[name], 0.99)/quantile(reference.firsts[name], 0.99))
	}
	return worst
}

func BenchmarkMeasureSlowedServers(b *testing.B) {
	for _, d := range deployments() {
		for _, n := range []int{1, 2, d.engines / d.domains} {
			reference := runSlowed(d, n, 0, newOurs(defaultSeed))
			for _, factor := range []float64{3, 10} {
				for _, p := range append([]policy{{"ours", newOurs(defaultSeed)}}, baselines()...) {
					b.Run(fmt.Sprintf("%s/slow=%d/times=%.0f/%s", d.name, n, factor, p.name), func(b *testing.B) {
						var r result
						for range b.N {
							r = runSlowed(d, n, factor, p.newFront)
						}
						b.ReportMetric(tail(d, r, reference), "p99/without-slow")
						b.ReportMetric(firstTail(d, r, reference), "first-p99/without-slow")
						b.ReportMetric(r.met, "met/admitted")
						b.ReportMetric(0, "ns/op")
					})
				}
			}
		}
	}
}
