package measure

import (
	"fmt"
	"sort"
	"testing"
	"time"
)

func TestDebugHOL(t *testing.T) {
	for _, d := range deployments() {
		both := headOfLine(d, longLoad, shortLoad)
		s := newSim(both, newOurs(1))
		both.load(s, defaultSeed, 1, 0, 0, lineLength)
		var b []float64
		for i := range 60 {
			s.runUntil(s.start.Add(time.Duration(i) * time.Second))
			run := 0
			for _, e := range s.engines {
				run += len(e.running)
			}
			b = append(b, float64(run)/float64(len(s.engines)))
		}
		fmt.Printf("batch %.2f\n", b)
		var inline, eng []float64
		for _, j := range s.jobs {
			if j.class.Name == both.classes[1].Name && j.admitted() && !j.first.IsZero() && j.arrived.After(s.start.Add(20*time.Second)) {
				a := j.attempts[0]
				inline = append(inline, a.sent.Sub(j.arrived).Seconds())
				eng = append(eng, j.first.Sub(a.sent).Seconds())
			}
		}
		sort.Float64s(inline)
		sort.Float64s(eng)
		for _, q := range []float64{.5, .9, .95, .98, .99, .999} {
			fmt.Printf("q%.3f line %.3f engine %.3f n %d\n", q, quantile(inline, q), quantile(eng, q), len(inline))
		}
	}
}
