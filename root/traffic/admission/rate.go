package admission

import (
	"math"
	"time"
)

const (
	// serviceRateWindow is the least length of one sample of a service rate.
	serviceRateWindow = 500 * time.Millisecond
	// serviceRateTimeConstant is the time constant of the moving average over samples.
	serviceRateTimeConstant = 4 * time.Second
	// meterTimeConstant is the time constant of a meter's moving average.
	meterTimeConstant = 5 * time.Second
	// minServiceRateSamples is the number of successive samples from which a class's
	// measured service rate is used instead of one predicted from the total.
	minServiceRateSamples = 4
)

// serviceRate measures the cost granted per second while items wait. Windows in
// which the queue was empty show demand rather than capacity; they don't change the
// average.
type serviceRate struct {
	rate        float64
	windowCost  float64
	windowStart time.Time
	// backlogged says that the queue has not been empty since windowStart.
	backlogged bool
	// samples counts the successive windows in which the queue was never empty.
	samples int
}

// grant adds the cost of a granted item to the current window.
func (r *serviceRate) grant(cost float64) { r.windowCost += cost }

// update ends the window once it is at least serviceRateWindow long.
func (r *serviceRate) update(now time.Time, queued bool) {
	if !queued {
		r.backlogged = false
	}
	elapsed := now.Sub(r.windowStart)
	if elapsed < serviceRateWindow {
		return
	}
	r.addSample(elapsed)
	r.windowCost = 0
	r.windowStart = now
	r.backlogged = queued
}

func (r *serviceRate) addSample(elapsed time.Duration) {
	if !r.backlogged {
		r.samples = 0
		return
	}
	r.samples++
	sample := r.windowCost / elapsed.Seconds()
	if r.rate == 0 {
		r.rate = sample
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/serviceRateTimeConstant.Seconds())
	r.rate += weight * (sample - r.rate)
}

// reliable reports whether the rate has enough successive samples.
func (r *serviceRate) reliable() bool { return r.samples >= minServiceRateSamples }

// meter is an exponentially weighted moving average of amounts per second.
type meter struct {
	rate      float64
	updatedAt time.Time
}

// add decays the average to now and adds an amount.
func (m *meter) add(now time.Time, amount float64) {
	if elapsed := now.Sub(m.updatedAt); elapsed > 0 {
		m.rate *= math.Exp(-elapsed.Seconds() / meterTimeConstant.Seconds())
		m.updatedAt = now
	}
	m.rate += amount / meterTimeConstant.Seconds()
}
