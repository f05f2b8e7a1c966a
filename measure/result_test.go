package measure

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/scheduling"
)

// window bounds the jobs that count, by arrival since the start.
type window struct{ from, to time.Duration }

// result sums one run.
type result struct {
	// useful is the engine time of whole answers within their deadlines, as a
	// share of all engine time in the window.
	useful float64
	// tokens and requests are goodput per second.
	tokens, requests float64
	// met is the share of admitted jobs that met their deadlines.
	met float64
	// lateRefusals is the share of refusals that came after more than 0.1 s.
	lateRefusals float64
	// cost is the completed work by class, in admission's unit.
	cost map[string]float64
	// firsts and totals hold seconds to the first token and to the whole
	// answer of completed jobs, by class and in order.
	firsts, totals map[string][]float64
}

const lateRefusal = 100 * time.Millisecond

// sum counts goodput by completion time and the rest by arrival time.
func sum(s *sim, w window) result {
	r := result{cost: map[string]float64{}, firsts: map[string][]float64{}, totals: map[string][]float64{}}
	from, to := s.start.Add(w.from), s.start.Add(w.to)
	seconds := (w.to - w.from).Seconds()
	var useful time.Duration
	var admitted, met, refused, late float64
	for _, j := range s.jobs {
		if j.good() && !j.done.Before(from) && j.done.Before(to) {
			useful += engineTime(j)
			r.tokens += float64(j.prompt+j.output) / seconds
			r.requests += 1 / seconds
			r.cost[j.class.Name] += scheduling.Cost(j.prompt, float64(j.output))
		}
		if j.arrived.Before(from) || !j.arrived.Before(to) {
			continue
		}
		if j.admitted() {
			admitted++
			met += count(j.good())
		}
		if !j.refused.IsZero() {
			refused++
			late += count(j.refused.Sub(j.arrived) > lateRefusal)
		}
		r.time(j)
	}
	r.useful = useful.Seconds() / seconds / float64(len(s.engines))
	r.met, r.lateRefusals = ratio(met, admitted), ratio(late, refused)
	for _, by := range []map[string][]float64{r.firsts, r.totals} {
		for _, list := range by {
			slices.Sort(list)
		}
	}
	return r
}

func (r *result) time(j *job) {
	name := j.class.Name
	if !j.first.IsZero() {
		r.firsts[name] = append(r.firsts[name], j.first.Sub(j.arrived).Seconds())
	}
	if !j.done.IsZero() {
		r.totals[name] = append(r.totals[name], j.done.Sub(j.arrived).Seconds())
	}
}

func count(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// quantile returns the q-quantile of a sorted list; 0 when it is empty.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
