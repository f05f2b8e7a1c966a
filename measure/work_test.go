package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

// shape is the workload of one class.
type shape struct {
	prompt, output float64
	// part is the class's part of the offered engine time.
	part float64
	// stragglers is the share of jobs with ten times the output.
	stragglers float64
}

// deployment is one users' fleet and its classes, in step with shapes.
type deployment struct {
	name             string
	engines, domains int
	classes          []table.Class
	shapes           []shape
}

func class(name string, place, weight int, deadline time.Duration) table.Class {
	return table.Class{
		Name: name, Priority: place, Weight: weight, Queue: 800, Deadline: deadline,
		Targets: []string{modelName}, Idempotent: true,
	}
}

func cooperative() deployment {
	return deployment{
		name: "coop", engines: 12, domains: 4,
		classes: []table.Class{
			class("history", 1, 3, 30*time.Second),
			class("question", 1, 2, 5*time.Second),
			class("quote", 1, 1, 15*time.Second),
		},
		shapes: []shape{{3000, 350, 0.4, 0}, {120, 50, 0.3, 0}, {600, 150, 0.3, 0}},
	}
}

func tourCompany() deployment {
	return deployment{
		name: "tour", engines: 18, domains: 3,
		classes: []table.Class{
			class("survey", 1, 1, 40*time.Second),
			class("kiosk", 2, 2, 5*time.Second),
			class("casual", 2, 1, 10*time.Second),
		},
		shapes: []shape{{6000, 400, 0.3, 0}, {120, 50, 0.35, 0}, {300, 120, 0.35, 0}},
	}
}

func deployments() []deployment { return []deployment{cooperative(), tourCompany()} }

// logNormal draws around the mean with a moderate spread.
func logNormal(r *rand.Rand, mean float64) int {
	const sigma = 0.5
	return max(1, int(mean*math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)))
}

func (d *deployment) draw(r *rand.Rand, i int, at time.Time) *job {
	sh := d.shapes[i]
	j := &job{class: &d.classes[i], arrived: at, deadline: at.Add(d.classes[i].Deadline)}
	j.prompt, j.output = logNormal(r, sh.prompt), logNormal(r, sh.output)
	if r.Float64() < sh.stragglers {
		j.output *= 10
	}
	caller := r.IntN(40)
	j.caller = fmt.Sprintf("caller-%d", caller)
	for b := range j.prompt / blockTokens {
		shared := uint64(caller)<<32 | uint64(i)<<16 | uint64(b)
		if b > 0 {
			shared = r.Uint64()
		}
		j.prefix = append(j.prefix, shared)
	}
	return j
}

// load offers jobs at level times the fleet's nominal capacity. swing is the
// amplitude, 0 to 1, of a square wave with the given period.
func (d *deployment) load(s *sim, seed uint64, level, swing float64, period, length time.Duration) {
	for i, sh := range d.shapes {
		if sh.part == 0 {
			continue
		}
		r := randomFor(seed, uint64(i)+100)
		cost := (sh.prompt*stepPrompt.Seconds() + sh.output*(1+9*sh.stragglers)*fullBatchStep.Seconds()/engineSlots)
		rate := level * sh.part * float64(d.engines) / cost
		at := time.Duration(0)
		for at < length {
			high := period == 0 || (at/period)%2 == 0
			now := rate * (1 - swing)
			if high {
				now = rate * (1 + swing)
			}
			at += time.Duration(r.ExpFloat64() / now * float64(time.Second))
			s.offer(d.draw(r, i, s.start.Add(at)), r.IntN(entries))
		}
	}
}
