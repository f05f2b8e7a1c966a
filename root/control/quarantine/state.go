package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

const (
	// Duration is how long a segment is kept from engines.
	Duration = 3 * time.Minute
	// MaxEntries bounds the segments in quarantine at the same time.
	MaxEntries = 1024
)

// State holds the segments in quarantine. It is not safe for concurrent use.
type State struct{ until map[Segment]int64 }

// NewState returns a state without segments.
func NewState() *State { return &State{until: map[Segment]int64{}} }

// Restore returns the state of a snapshot. Its error has kind fault.Corrupt.
func Restore(entries []Entry) (*State, error) {
	if len(entries) > MaxEntries {
		return nil, fault.New(fault.Corrupt, part, "snapshot has %d segments in quarantine, more than %d", len(entries), MaxEntries)
	}
	s := NewState()
	for _, e := range entries {
		s.until[e.Segment] = e.Until
	}
	return s, nil
}

// Add puts segments into quarantine from now, in Unix milliseconds. If there are too
// many, none is added, and the error has kind fault.Overloaded.
func (s *State) Add(segments []Segment, now int64) *fault.Error {
	next := maps.Clone(s.until)
	for _, seg := range segments {
		next[seg] = now + Duration.Milliseconds()
	}
	if len(next) > MaxEntries {
		return fault.New(fault.Overloaded, part, "limit of %d segments in quarantine reached", MaxEntries)
	}
	s.until = next
	return nil
}

// Expire ends the quarantines that are over at now, in Unix milliseconds.
func (s *State) Expire(now int64) {
	maps.DeleteFunc(s.until, func(_ Segment, until int64) bool { return until <= now })
}

// Has reports whether the segment is in quarantine.
func (s *State) Has(segment Segment) bool {
	_, found := s.until[segment]
	return found
}

// Entries returns the segments in quarantine, sorted by segment; nil if there are none.
func (s *State) Entries() []Entry {
	var out []Entry
	for _, seg := range slices.Sorted(maps.Keys(s.until)) {
		out = append(out, Entry{Segment: seg, Until: s.until[seg]})
	}
	return out
}
