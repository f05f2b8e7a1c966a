package measure

import (
	"fmt"
	"testing"
	"time"
)

func TestDebugDist(t *testing.T) {
	d := deployments()[0]
	both := headOfLine(d, longLoad, shortLoad)
	s := newSim(both, newOurs(1))
	both.load(s, defaultSeed, 1, 0, 0, lineLength)
	for i := range 60 {
		s.runUntil(s.start.Add(time.Duration(i) * time.Second))
		if i < 18 {
			continue
		}
		tot, longs := 0, 0
		for _, e := range s.engines {
			l := 0
			for _, a := range e.running {
				if a.job.class.Name == "history" {
					l++
				}
			}
			fmt.Printf("%d/%d+%d ", l, len(e.running), len(e.queue))
			tot += len(e.running)
			longs += l
		}
		fmt.Println(" total", tot, "long", longs)
	}
}

func TestDebugHedge(t *testing.T) {
	d := deployments()[0]
	both := headOfLine(d, longLoad, shortLoad)
	s := newSim(both, newOurs(1))
	both.load(s, defaultSeed, 1, 0, 0, lineLength)
	s.runUntil(s.start.Add(60 * time.Second))
	h := map[string]int{}
	for _, j := range s.jobs {
		if len(j.attempts) > 1 {
			h[j.class.Name]++
		}
		if len(j.attempts) > 0 && j.class.Name == "question" && j.arrived.After(s.start.Add(20*time.Second)) && j.first.Sub(j.attempts[0].sent) > 200*time.Millisecond {
			fmt.Print(j.first.Sub(j.attempts[0].sent))
			for _, a := range j.attempts {
				fmt.Print(" ", a.sent.Sub(j.attempts[0].sent), a.engine.server.ID)
			}
			fmt.Println()
		}
	}
	n := 0
	for _, f := range s.fronts {
		n += f.(*ours).hedges
	}
	fmt.Println(n, h)
}
