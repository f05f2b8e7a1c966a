package placement

import (
	"slices"
	"time"
)

const (
	// minBackoff and maxBackoff bound the back-off from a server after a lost
	// request. It doubles with each request lost since the last response, and requests
	// lost at the same time count one each. A server restarts in about a second, so the
	// first two back-offs together outlast a restart.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// overloadBackoff is the back-off from a server that refused a request because
	// it is full. It has finished a few requests by then. Without the back-off, its
	// fast refusals would make it look idle and attract more requests.
	overloadBackoff = 250 * time.Millisecond
	// errorRateSmoothing is the weight of a new outcome in a server's error rate.
	errorRateSmoothing = 0.1
	// latencySmoothing is the weight of a new sample in a server's average latency.
	latencySmoothing = 0.1
	// minLatencySamples is the number of samples from which a server's latency is
	// compared with others.
	minLatencySamples = 5
)

// health is what this entry has observed of one server.
type health struct {
	consecutiveLosses int
	backoffUntil      time.Time
	errorRate         float64
	// latency is the average time to the first output per unit of work, in seconds;
	// see Run.units.
	latency        float64
	latencySamples int
}

// observe updates the health with the result of a request of the given units of
// work.
func (h *health) observe(now time.Time, r Result, units float64) {
	switch r.Outcome {
	case Abandoned:
		return
	case Refused:
		h.backoffUntil = now.Add(overloadBackoff)
		return
	case Lost:
		wait := min(minBackoff<<min(h.consecutiveLosses, 8), maxBackoff)
		h.consecutiveLosses++
		h.backoffUntil = now.Add(wait)
		h.errorRate += errorRateSmoothing * (1 - h.errorRate)
		return
	case Errored:
		h.errorRate += errorRateSmoothing * (1 - h.errorRate)
	case Answered:
		h.errorRate -= errorRateSmoothing * h.errorRate
	}
	h.consecutiveLosses = 0
	if r.TimeToFirstOutput <= 0 || units <= 0 {
		return
	}
	h.latencySamples++
	weight := max(latencySmoothing, 1/float64(h.latencySamples))
	h.latency += weight * (r.TimeToFirstOutput.Seconds()/units - h.latency)
}

func (h *health) backingOff(now time.Time) bool { return now.Before(h.backoffUntil) }

// slowness returns the ratio of the server's latency to the median, at least 1; 1
// without enough samples.
func (h *health) slowness(median float64) float64 {
	if h.latencySamples < minLatencySamples || median <= 0 {
		return 1
	}
	return max(1, h.latency/median)
}

// medianHealth holds medians over the servers of a service that may run a stage.
type medianHealth struct{ errorRate, latency float64 }

func (s *State) healthMedians(req *Request) medianHealth {
	var errorRates, latencies []float64
	for _, srv := range s.servers {
		c := Candidate{Server: &srv.Server}
		if !(ServiceFilter{}).Keep(req, &c) || !(StageFilter{}).Keep(req, &c) {
			continue
		}
		errorRates = append(errorRates, srv.health.errorRate)
		if srv.health.latencySamples >= minLatencySamples {
			latencies = append(latencies, srv.health.latency)
		}
	}
	return medianHealth{lowerMedian(errorRates), lowerMedian(latencies)}
}

func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
