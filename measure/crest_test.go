package measure

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

const (
	crestLength = 45 * time.Second
	crestPeriod = 4 * time.Second
	crestSwing  = 0.4
)

var crestWindow = window{15 * time.Second, crestLength}

var crestLevels = []float64{0.8, 1.2, 2, 4}

func runCrest(d deployment, level, swing float64, newFront func(*sim, int) front) result {
	s := newSim(d, newFront)
	d.load(s, defaultSeed, level, swing, crestPeriod, crestLength)
	s.runUntil(s.start.Add(crestLength + drainAtTheEnd))
	return sum(s, crestWindow)
}

// capacityOf is the useful part of the engine time when nothing is refused,
// nothing is late and no engine lacks work.
func capacityOf(d deployment) float64 {
	patient := d
	patient.classes = slices.Clone(d.classes)
	for i := range patient.classes {
		patient.classes[i].Deadline = time.Hour
	}
	return runCrest(patient, 4, crestSwing, newCentral()).useful
}

// goodput is the part of the offered work that was answered in time, or, where
// more than the capacity is offered, the useful part of the capacity.
func goodput(r result, capacity float64) float64 {
	if r.offered < capacity {
		return r.answered / r.offered
	}
	return r.useful / capacity
}

// shareError is the largest relative error of a class's completed work against
// its weighted max-min share, over classes of the same place that wait.
func shareError(d deployment, level float64, r result) float64 {
	worst := 0.0
	for place := 1; place <= 2; place++ {
		total := 0.0
		for i := range d.classes {
			if d.classes[i].Priority == place {
				total += r.cost[d.classes[i].Name]
			}
		}
		for i, share := range maxMin(d, level, place, total, r) {
			got := r.cost[d.classes[i].Name]
			worst = math.Max(worst, math.Abs(got-share)/share)
		}
	}
	return worst
}

// maxMin splits total by weight among the place's classes, none above its offer.
func maxMin(d deployment, level float64, place int, total float64, r result) map[int]float64 {
	shares, open := map[int]float64{}, map[int]float64{}
	for i, c := range d.classes {
		if c.Priority == place {
			sh := d.shapes[i]
			perEngineSecond := (0.05*sh.prompt + sh.output) / (sh.prompt*stepPrompt.Seconds() + sh.output*fullBatchStep.Seconds()/engineSlots)
			open[i] = level * sh.part * float64(d.engines) * perEngineSecond * (crestWindow.to - crestWindow.from).Seconds()
		}
	}
	for len(open) > 0 {
		weights, closed := 0.0, false
		for i := range open {
			weights += float64(d.classes[i].Weight)
		}
		left := total
		for i, offer := range open {
			if offer <= left*float64(d.classes[i].Weight)/weights {
				shares[i] = r.cost[d.classes[i].Name]
				total -= shares[i]
				delete(open, i)
				closed = true
			}
		}
		if closed {
			continue
		}
		for i := range open {
			shares[i] = total * float64(d.classes[i].Weight) / weights
		}
		break
	}
	return shares
}

func BenchmarkMeasureCrest(b *testing.B) {
	for _, d := range deployments() {
		capacity := capacityOf(d)
		for _, level := range crestLevels {
			for _, p := range append([]policy{{"ours", newOurs(defaultSeed)}}, baselines()...) {
				b.Run(fmt.Sprintf("%s/level=%.1f/%s", d.name, level, p.name), func(b *testing.B) {
					for range b.N {
						reportCrest(b, d, level, capacity, p)
					}
				})
			}
		}
	}
}

func reportCrest(b *testing.B, d deployment, level, capacity float64, p policy) {
	r := runCrest(d, level, crestSwing, p.newFront)
	b.ReportMetric(goodput(r, capacity), "goodput/capacity")
	b.ReportMetric(r.met, "met/admitted")
	b.ReportMetric(r.lateRefusals, "late/refusals")
	b.ReportMetric(shareError(d, level, r), "share-error")
	b.ReportMetric(r.requests, "good-req/s")
	b.ReportMetric(r.tokens, "good-tok/s")
	b.ReportMetric(0, "ns/op")
	if p.name == "ours" {
		steady := runCrest(d, level, 0, p.newFront)
		b.ReportMetric(shareError(d, level, steady), "steady-share-error")
	}
}
