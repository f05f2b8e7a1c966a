package root

import (
	"maps"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// refusalLogInterval is the least time between two log lines about refusals of one kind.
const refusalLogInterval = time.Second

// refusals counts what was refused or closed to stay within the limits, by kind, and logs at
// most one line for each kind and second.
type refusals struct {
	log logr.Logger

	mu     sync.Mutex
	counts map[string]uint64
	logged map[string]refusalLine
}

// refusalLine is the last log line of a kind.
type refusalLine struct {
	at    time.Time
	total uint64
}

func newRefusals(log logr.Logger) *refusals {
	return &refusals{log: log, counts: map[string]uint64{}, logged: map[string]refusalLine{}}
}

func (r *refusals) count(kind string) {
	now := time.Now()
	r.mu.Lock()
	r.counts[kind]++
	total, last := r.counts[kind], r.logged[kind]
	due := now.Sub(last.at) >= refusalLogInterval
	if due {
		r.logged[kind] = refusalLine{now, total}
	}
	r.mu.Unlock()
	if due {
		r.log.Info("refused to stay within limits", "kind", kind, "since_last_line", total-last.total, "total", total)
	}
}

// totals returns the counts by kind.
func (r *refusals) totals() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counts)
}
