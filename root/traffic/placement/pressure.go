package placement

import (
	"math"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// pressureMemory is the time constant of observed pressures: a few reports.
const pressureMemory = time.Second

// pressure is a fading mean of times in objectives.
type pressure struct {
	sum, weight float64
	at          time.Time
}

func (p *pressure) observe(now time.Time, value float64) {
	p.fade(now)
	p.sum += value
	p.weight++
}

func (p *pressure) fade(now time.Time) {
	keep := math.Exp(-now.Sub(p.at).Seconds() / pressureMemory.Seconds())
	p.sum *= keep
	p.weight *= keep
	p.at = now
}

// pressed notes how long work took to its first sign of an answer.
func (s *State) pressed(now time.Time, w *Work, took time.Duration) {
	if w.Objective <= 0 || w.PromptTokens == 0 {
		return
	}
	key := readingKey{w.Service, w.Stage == Prefill}
	p := s.pressures[key]
	if p == nil {
		p = &pressure{at: now}
		s.pressures[key] = p
	}
	p.observe(now, float64(took)/float64(w.Objective))
}

// Pressures returns how engines keep the objectives, by service and role. Work
// that waits longer than the others did counts already.
func (s *State) Pressures(now time.Time) []fleet.Pressure {
	waiting := map[readingKey]pressure{}
	for r := range s.open {
		if r.work.Objective <= 0 || r.work.PromptTokens == 0 || r.read {
			continue
		}
		key := readingKey{r.work.Service, r.work.Stage == Prefill}
		p := waiting[key]
		p.sum += float64(now.Sub(r.work.Arrived)) / float64(r.work.Objective)
		p.weight++
		waiting[key] = p
	}
	var out []fleet.Pressure
	for key, p := range s.pressures {
		p.fade(now)
		sum, weight := p.sum, p.weight
		if w := waiting[key]; w.weight > 0 && w.sum*weight > sum*w.weight {
			sum, weight = sum+w.sum, weight+w.weight
		}
		if weight < minPressureWeight {
			continue
		}
		role := fleet.Decode
		if key.prefill {
			role = fleet.Prefill
		}
		out = append(out, fleet.Pressure{Service: key.service, Role: role, Mean: sum / weight, Weight: weight})
	}
	return out
}

// minPressureWeight is the weight below which a mean is not reported.
const minPressureWeight = 0.1
