package admission

import (
	"math"
	"time"
)

const (
	// drainWindow is the length of one sample of a queue's drain rate.
	drainWindow = 500 * time.Millisecond
	// drainMemory is the time constant of the average over samples.
	drainMemory = 4 * time.Second
)

// drain measures the cost per second that a class is granted while it has a
// queue. It captures weights, limits and other classes without modelling them.
type drain struct {
	rate    float64
	granted float64
	since   time.Time
	// backlogged says that the queue was non-empty for the whole window.
	backlogged bool
}

// grant adds a granted cost to the present sample.
func (d *drain) grant(cost float64) { d.granted += cost }

// update closes the sample when its window has passed.
func (d *drain) update(now time.Time, queued bool) {
	if !queued {
		d.backlogged = false
	}
	elapsed := now.Sub(d.since)
	if elapsed < drainWindow {
		return
	}
	d.sample(elapsed)
	d.granted = 0
	d.since = now
	d.backlogged = queued
}

// sample mixes the closed window into the average. A window without a constant
// queue is only a lower bound of the rate.
func (d *drain) sample(elapsed time.Duration) {
	if elapsed > 4*drainMemory {
		return
	}
	seen := d.granted / elapsed.Seconds()
	if !d.backlogged && seen < d.rate {
		return
	}
	if d.rate == 0 {
		d.rate = seen
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/drainMemory.Seconds())
	d.rate += weight * (seen - d.rate)
}

// wait returns the predicted time to grant the given cost.
func (d *drain) wait(cost float64) time.Duration {
	if d.rate <= 0 || cost <= 0 {
		return 0
	}
	seconds := math.Min(cost/d.rate, maxWait.Seconds())
	return time.Duration(seconds * float64(time.Second))
}
