package dispatch

import (
	"maps"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Stats are counters since the start.
type Stats struct {
	Granted uint64
	// Refused counts refusals by the name of their kind.
	Refused map[string]uint64
	// Retries counts retries within the budget, RetriesDenied those past it.
	Retries, RetriesDenied uint64
}

func (s *Stats) refuse(kind fault.Kind) {
	if s.Refused == nil {
		s.Refused = map[string]uint64{}
	}
	s.Refused[kind.String()]++
}

func (s *Stats) retry(allowed bool) {
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
