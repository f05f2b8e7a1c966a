package relay

import (
	"sync"
	"time"
)

const (
	// routineLines is the number of lines a second about attempts that went well. All
	// of them, at 40 a second, took 14% of an entry's processor time; the aim is 5%.
	routineLines = 3.0
	// routineBurst is the number of such lines that may come at once: ten seconds'.
	routineBurst = 30.0
)

// sampler bounds the lines about attempts that went well. Its zero value lets a
// whole burst pass.
type sampler struct {
	mu      sync.Mutex
	used    float64
	at      time.Time
	dropped uint64
}

// take reports whether a line may be written now, and counts it otherwise.
func (s *sampler) take(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = max(0, s.used-routineLines*now.Sub(s.at).Seconds())
	s.at = now
	if s.used+1 > routineBurst {
		s.dropped++
		return false
	}
	s.used++
	return true
}

func (s *sampler) count() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// LinesDropped returns the number of attempts that went well and have no line.
func (r *Relay) LinesDropped() uint64 { return r.lines.count() }
