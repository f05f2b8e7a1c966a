package burn

import (
	"maps"
	"sync"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// series holds the outcomes of one class.
type series struct {
	mu sync.Mutex
	// total counts since the start of the process.
	total   Totals
	live    live
	start   time.Time
	windows windows
}

// Totals count the outcomes of one class since the start of the process.
type Totals struct {
	Within  uint64            `json:"within"`
	Late    uint64            `json:"late"`
	Refused map[string]uint64 `json:"refused"`
}

func (s *series) answered(t Timing, within bool) {
	s.live.answered(t, within)
	if within {
		s.total.Within++
		return
	}
	s.total.Late++
}

func (s *series) refused(kind fault.Kind) {
	s.live.refused(kind)
	s.total.Refused[kind.String()]++
}

func (s *series) totals() Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.total
	out.Refused = maps.Clone(s.total.Refused)
	return out
}

func newSeries(now time.Time) *series {
	return &series{
		total:   Totals{Refused: map[string]uint64{}},
		start:   now.Truncate(liveWidth),
		windows: newWindows(),
	}
}

// roll moves the live span into the windows once it has ended. The lock is held.
func (s *series) roll(now time.Time) {
	start := now.Truncate(liveWidth)
	if start.Equal(s.start) {
		return
	}
	s.flush()
	s.start = start
}

// flush moves the live span into the windows. The lock is held.
func (s *series) flush() {
	if !s.live.used {
		return
	}
	counts := s.live.take()
	s.windows.add(&counts, s.start)
}

func (s *series) idle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush()
	return s.windows.empty(now)
}

// snapshot returns the slots of each window up to now.
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
