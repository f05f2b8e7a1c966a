package placement

import (
	"slices"
	"time"
)

const (
	// firstAvoid and mostAvoid bound the time for which a server that was lost is
	// avoided; it doubles with each further loss. A restart takes about a second.
	firstAvoid = 500 * time.Millisecond
	mostAvoid  = 4 * time.Second
	// fullAvoid is how long a server that said it is full gets nothing: it has
	// served a few requests by then. Its short answers would draw more otherwise.
	fullAvoid = 250 * time.Millisecond
	// errorMemory is the weight of a new outcome in a server's share of errors.
	errorMemory = 0.1
	// tookMemory is the weight of a new time in a server's average.
	tookMemory = 0.1
	// minTimes is the number of times seen before a server is judged slow.
	minTimes = 5
)

// health is what this entry observes of one server.
type health struct {
	losses     int
	avoidUntil time.Time
	errors     float64
	// took is the average time for one unit of work in seconds.
	took  float64
	times int
}

// observe learns from the end of one request. units is the work that the time
// was spent on.
func (h *health) observe(now time.Time, r Result, units float64) {
	switch r.Outcome {
	case Abandoned:
		return
	case Refused:
		h.avoidUntil = now.Add(fullAvoid)
		return
	case Lost:
		wait := min(firstAvoid<<min(h.losses, 8), mostAvoid)
		h.losses++
		h.avoidUntil = now.Add(wait)
		h.errors += errorMemory * (1 - h.errors)
		return
	case Errored:
		h.errors += errorMemory * (1 - h.errors)
	case Answered:
		h.errors -= errorMemory * h.errors
	}
	h.losses = 0
	if r.Took <= 0 || units <= 0 {
		return
	}
	h.times++
	weight := max(tookMemory, 1/float64(h.times))
	h.took += weight * (r.Took.Seconds()/units - h.took)
}

func (h *health) avoided(now time.Time) bool { return now.Before(h.avoidUntil) }

// slowness compares the server's time with the typical one, at least 1.
func (h *health) slowness(typical float64) float64 {
	if h.times < minTimes || typical <= 0 {
		return 1
	}
	return max(1, h.took/typical)
}

// typicalHealth is the middle of what is observed of a service's servers.
type typicalHealth struct{ errors, took float64 }

func (s *State) typical(w *Work) typicalHealth {
	var errors, took []float64
	for _, srv := range s.servers {
		c := Candidate{Server: &srv.Server}
		if !(ServiceFilter{}).Keep(w, &c) || !(StageFilter{}).Keep(w, &c) {
			continue
		}
		errors = append(errors, srv.health.errors)
		if srv.health.times >= minTimes {
			took = append(took, srv.health.took)
		}
	}
	return typicalHealth{lowMedian(errors), lowMedian(took)}
}

func lowMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
