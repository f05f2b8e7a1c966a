package measure

import (
	"fmt"
	"math"
	"testing"
	"time"
)

const (
	lineLength = 60 * time.Second
	// shortLoad is the offered short work as a part of capacity.
	shortLoad = 0.03
	// longLoad is the offered long work as a part of capacity.
	longLoad = 2.0
	// stragglerShare is the share of long jobs with ten times the output.
	stragglerShare = 0.02
)

var lineWindow = window{20 * time.Second, lineLength}

// headOfLine is a deployment with its long class and its shortest class only,
// at equal places and weights, so that nothing but the decisions helps.
func headOfLine(d deployment, long, short float64) deployment {
	classes := d.classes[:2:2]
	d.classes = append(d.classes[:0:0], classes...)
	d.shapes = append(d.shapes[:0:0], d.shapes[:2]...)
	for i := range d.classes {
		d.classes[i].Priority, d.classes[i].Weight = 1, 1
		d.classes[i].Deadline = 2 * time.Minute
	}
	d.shapes[0].part, d.shapes[1].part = long, short
	d.shapes[0].stragglers = stragglerShare
	return d
}

func runLine(d deployment, newFront func(*sim, int) front) result {
	s := newSim(d, newFront)
	d.load(s, defaultSeed, 1, 0, 0, lineLength)
	s.runUntil(s.start.Add(lineLength + 5*time.Second))
	return sum(s, lineWindow)
}

// shortWait is the p99 time to the first token of short work, in seconds.
func shortWait(d deployment, r result) float64 { return quantile(r.firsts[d.classes[1].Name], 0.99) }

// longWork is the completed long work per second.
func longWork(d deployment, r result) float64 { return r.cost[d.classes[0].Name] }

func BenchmarkMeasureHeadOfLine(b *testing.B) {
	for _, d := range deployments() {
		idle := headOfLine(d, 0, shortLoad)
		unloaded := shortWait(idle, runLine(idle, newOurs(defaultSeed)))
		alone := headOfLine(d, longLoad, 0)
		best := 0.0
		for _, p := range append(baselines(), policy{"ours", newOurs(defaultSeed)}) {
			best = math.Max(best, longWork(alone, runLine(alone, p.newFront)))
		}
		both := headOfLine(d, longLoad, shortLoad)
		for _, p := range append([]policy{{"ours", newOurs(defaultSeed)}}, baselines()...) {
			b.Run(fmt.Sprintf("%s/%s", d.name, p.name), func(b *testing.B) {
				var r result
				for range b.N {
					r = runLine(both, p.newFront)
				}
				b.ReportMetric(shortWait(both, r)*1000, "short-p99-ms")
				b.ReportMetric(shortWait(both, r)/unloaded, "short-p99/unloaded")
				b.ReportMetric(longWork(both, r)/best, "long-goodput/alone")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
