package burn

import (
	"maps"
	"sync"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// series holds the outcomes of one class. currentStart is the start of the current
// interval.
type series struct {
	mu sync.Mutex
	// totalsSinceStart is never reset while the series exists.
	totalsSinceStart Totals
	current          interval
	currentStart     time.Time
	windows          windows
}

// Totals counts the outcomes of one class since the start of the process. The
// totals of a class start over when dropIdle has removed its series.
type Totals struct {
	Within  uint64            `json:"within"`
	Late    uint64            `json:"late"`
	Refused map[string]uint64 `json:"refused"`
}

func (s *series) recordResponse(t Timing, within bool) {
	s.current.recordResponse(t, within)
	if within {
		s.totalsSinceStart.Within++
		return
	}
	s.totalsSinceStart.Late++
}

func (s *series) recordError(kind fault.Kind) {
	s.current.recordError(kind)
	s.totalsSinceStart.Refused[kind.String()]++
}

func (s *series) totals() Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.totalsSinceStart
	out.Refused = maps.Clone(s.totalsSinceStart.Refused)
	return out
}

func newSeries(now time.Time) *series {
	return &series{
		totalsSinceStart: Totals{Refused: map[string]uint64{}},
		currentStart:     now.Truncate(intervalLength),
		windows:          newWindows(),
	}
}

// rotate starts a new interval if now is not in the current one, whose counts it
// adds to the windows. s.mu is held.
func (s *series) rotate(now time.Time) {
	start := now.Truncate(intervalLength)
	if start.Equal(s.currentStart) {
		return
	}
	s.flush()
	s.currentStart = start
}

// flush adds the counts of the current interval to the windows and resets them.
// s.mu is held.
func (s *series) flush() {
	if !s.current.recorded {
		return
	}
	counts := s.current.reset()
	s.windows.add(&counts, s.currentStart)
}

func (s *series) isIdle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush()
	return s.windows.isEmpty(now)
}

// snapshot returns the slots of each window that ends at now.
func (s *series) snapshot(now time.Time) []WindowCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush()
	return s.windows.snapshot(now)
}

func (ws windows) snapshot(now time.Time) []WindowCounts {
	out := make([]WindowCounts, len(ws))
	for i := range ws {
		w := &ws[i]
		w.expire(now)
		out[i].LengthSeconds = int(w.length / time.Second)
		for _, slot := range w.slots {
			total := Counts{}
			total.Merge(&slot.counts)
			out[i].Slots = append(out[i].Slots, SlotCounts{Start: slot.start, Counts: total})
		}
	}
	return out
}
