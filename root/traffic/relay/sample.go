package relay

import (
	"sync"
	"time"
)

const (
	// successLogRate limits the log lines per second about successful attempts, to keep
	// logging below 5% of the process's CPU time; 40 lines per second take 14%.
	successLogRate = 3.0
	// successLogBurst is the number of such lines that may be written at once, equal to
	// ten seconds at successLogRate.
	successLogBurst = 30.0
)

// logSampler limits the log lines about successful attempts with a leaky bucket. The
// zero value has an empty bucket and permits a full burst.
type logSampler struct {
	mu      sync.Mutex
	level   float64
	updated time.Time
	dropped uint64
}

// allow reports whether a line may be written now; if not, it counts the line as
// dropped.
func (s *logSampler) allow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.level = max(0, s.level-successLogRate*now.Sub(s.updated).Seconds())
	s.updated = now
	if s.level+1 > successLogBurst {
		s.dropped++
		return false
	}
	s.level++
	return true
}

func (s *logSampler) droppedCount() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// LogLinesDropped returns the number of successful attempts that were not logged.
func (r *Relay) LogLinesDropped() uint64 { return r.successLog.droppedCount() }
