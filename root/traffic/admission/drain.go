package admission

import (
	"math"
	"time"
)

const (
	// drainWindow is the length of one sample of a drain rate.
	drainWindow = 500 * time.Millisecond
	// drainMemory is the time constant of the average over samples.
	drainMemory = 4 * time.Second
	// meterMemory is the time constant of a meter.
	meterMemory = 5 * time.Second
	// trustedSamples is the number of successive samples after which a class's
	// own drain rate is used.
	trustedSamples = 4
)

// drain measures the cost per second that is granted while a queue stands. Time
// without a queue says nothing about it and leaves the average as it is.
type drain struct {
	rate    float64
	granted float64
	since   time.Time
	// backlogged says that the queue was non-empty for the whole window.
	backlogged bool
	// samples counts successive windows with a queue.
	samples int
}

// grant adds a granted cost to the present window.
func (d *drain) grant(cost float64) { d.granted += cost }

// update closes the window when its time has passed.
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

func (d *drain) sample(elapsed time.Duration) {
	if !d.backlogged {
		d.samples = 0
		return
	}
	d.samples++
	seen := d.granted / elapsed.Seconds()
	if d.rate == 0 {
		d.rate = seen
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/drainMemory.Seconds())
	d.rate += weight * (seen - d.rate)
}

// trusted reports whether the queue has stood long enough to measure its rate.
func (d *drain) trusted() bool { return d.samples >= trustedSamples }

// meter is a moving average of amounts per second.
type meter struct {
	rate float64
	at   time.Time
}

// add counts an amount at now.
func (m *meter) add(now time.Time, amount float64) {
	if elapsed := now.Sub(m.at); elapsed > 0 {
		m.rate *= math.Exp(-elapsed.Seconds() / meterMemory.Seconds())
		m.at = now
	}
	m.rate += amount / meterMemory.Seconds()
}
