package dispatch

import (
	"maps"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Stats holds counters since the start of the process.
type Stats struct {
	// Granted counts grants, retries included.
	Granted uint64
	// Refused counts requests that were refused or whose context ended before they ran,
	// by the kind of their error. A request that was granted just as its context ended
	// is in Granted too, and one that was refused just then counts twice, for the refusal
	// and for the end of its context. One whose context ended before Acquire is in
	// neither.
	Refused map[string]uint64
	// Retries counts retries within the budget, RetriesDenied those refused because the
	// budget was exhausted.
	Retries, RetriesDenied uint64
}

func (s *Stats) countRefusal(kind fault.Kind) {
	if s.Refused == nil {
		s.Refused = map[string]uint64{}
	}
	s.Refused[kind.String()]++
}

func (s *Stats) countRetry(allowed bool) {
	if allowed {
		s.Retries++
		return
	}
	s.RetriesDenied++
}

func (s *Stats) clone() Stats {
	out := *s
	out.Refused = maps.Clone(s.Refused)
	return out
}
