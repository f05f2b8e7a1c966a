package scheduling

import (
	"math"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

const (
	// reserveTimeout is how long slots stay reserved after the last short request.
	reserveTimeout = 5 * time.Minute
	// reserveTimeConstant is the time constant of the average number of short
	// requests.
	reserveTimeConstant = 10 * time.Second
	// reserveDeviations is the number of standard deviations of a Poisson count by
	// which the reserve exceeds the average number of short requests.
	reserveDeviations = 6
	// minReserve and maxReserve bound the reserve as fractions of the eligible servers'
	// slots.
	minReserve = 0.02
	maxReserve = 0.125
	// reserveFactor bounds an entry's short requests for ReserveFree, relative to its
	// equal share of the reserve.
	reserveFactor = 2
)

// shortReserve sizes the reserve: the slots that long requests leave free for
// short ones.
type shortReserve struct {
	// running counts this entry's short requests, and average is its moving average,
	// updated at updatedAt.
	running    int
	average    float64
	updatedAt  time.Time
	lastChange time.Time
}

// add adds delta to the number of running short requests.
func (r *shortReserve) add(now time.Time, delta int) {
	r.updateAverage(now)
	r.running += delta
	r.lastChange = now
}

// updateAverage extends the average up to now.
func (r *shortReserve) updateAverage(now time.Time) {
	if elapsed := now.Sub(r.updatedAt); elapsed > 0 {
		keep := math.Exp(-elapsed.Seconds() / reserveTimeConstant.Seconds())
		r.average = keep*r.average + (1-keep)*float64(r.running)
		r.updatedAt = now
	}
}

// slots returns the size of the reserve over the eligible servers, given the number
// of their slots and the number of entries. Every entry is assumed to have as many
// short requests as this one.
func (r *shortReserve) slots(now time.Time, total, entries int) int {
	if r.lastChange.IsZero() || now.Sub(r.lastChange) > reserveTimeout {
		return 0
	}
	r.updateAverage(now)
	mean := r.average * float64(entries)
	want := mean + reserveDeviations*math.Sqrt(mean)
	least, most := minReserve*float64(total), maxReserve*float64(total)
	return int(math.Round(math.Min(math.Max(want, least), most)))
}

// reserveShare returns the part of the reserve on the i-th of n servers.
func reserveShare(reserved, i, n int) int {
	share := reserved / n
	if i < reserved%n {
		share++
	}
	return share
}

// longSlots returns the number of slots of the i-th of n servers that long
// requests may use: on plain servers all.
func (s *server) longSlots(reserved, i, n int) int {
	if s.Kind != fleet.Engine {
		return s.Slots
	}
	return max(1, s.Slots-reserveShare(reserved, i, n))
}
