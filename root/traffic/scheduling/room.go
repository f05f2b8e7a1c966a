package scheduling

import (
	"math"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

const (
	// shortMemory is how long room is kept after the last short work.
	shortMemory = 5 * time.Minute
	// roomMemory is the time constant of the average number of short requests.
	roomMemory = 10 * time.Second
	// roomDeviations is the room above the average number of short requests, in
	// standard deviations of a Poisson count.
	roomDeviations = 6
	// minRoom and maxRoom bound the room as shares of an engine's slots.
	minRoom = 0.02
	maxRoom = 0.125
	// roomExcess multiplies an entry's even part of the room.
	roomExcess = 2
)

// room sizes the slots that long work leaves free for short work.
type room struct {
	running int
	average float64
	at      time.Time
	last    time.Time
}

// change counts short requests that begin or end.
func (r *room) change(now time.Time, delta int) {
	r.settle(now)
	r.running += delta
	r.last = now
}

// settle brings the average up to date.
func (r *room) settle(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		keep := math.Exp(-elapsed.Seconds() / roomMemory.Seconds())
		r.average = keep*r.average + (1-keep)*float64(r.running)
		r.at = now
	}
}

// slots returns the slots to keep over all engines, given their total and the
// number of entries, which are taken to have as much short work as this one.
func (r *room) slots(now time.Time, total, entries int) int {
	if r.last.IsZero() || now.Sub(r.last) > shortMemory {
		return 0
	}
	r.settle(now)
	mean := r.average * float64(entries)
	want := mean + roomDeviations*math.Sqrt(mean)
	least, most := minRoom*float64(total), maxRoom*float64(total)
	return int(math.Round(math.Min(math.Max(want, least), most)))
}

// spread gives the i-th of n engines its part of the room.
func spread(room, i, n int) int {
	part := room / n
	if i < room%n {
		part++
	}
	return part
}

// longSlots returns the slots of the i-th of n servers that long work may use.
func (s *server) longSlots(room, i, n int) int {
	if s.Kind != fleet.Engine {
		return s.Slots
	}
	return max(1, s.Slots-spread(room, i, n))
}
