package burn

import (
	"sync"
	"time"
)

// series holds the outcomes of one class.
type series struct {
	mu      sync.Mutex
	live    live
	start   time.Time
	windows windows
}

func newSeries(now time.Time) *series {
	return &series{start: now.Truncate(liveWidth), windows: newWindows()}
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
