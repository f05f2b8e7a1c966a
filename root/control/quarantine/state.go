package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

const (
	// Duration is how long a segment is kept from engines the first time. Each failed probe
	// on probation doubles it, up to MaxDuration.
	Duration    = 3 * time.Minute
	MaxDuration = time.Hour
	// ProbationLifetime is how long a segment that nobody requests stays on probation after
	// its quarantine.
	ProbationLifetime = 30 * time.Minute
	// MaxEntries bounds the segments in quarantine and on probation together.
	MaxEntries = 1024
)

// Record is a segment in quarantine or on probation, as in snapshots.
type Record struct {
	Segment Segment
	// Until is the end of the quarantine in Unix milliseconds. Afterwards the segment is on
	// probation.
	Until int64
	// Duration is that of the last quarantine in milliseconds.
	Duration int64
}

// State holds the segments in quarantine and on probation. It is not safe for concurrent
// use.
type State struct {
	records map[Segment]Record
	// now is the latest time seen, in Unix milliseconds.
	now int64
}

// NewState returns a state without segments.
func NewState() *State { return &State{records: map[Segment]Record{}} }

// Restore returns the state of a snapshot at now, in Unix milliseconds. A record without a
// duration, as in a snapshot of an older release, gets Duration. The error has kind
// fault.Corrupt.
func Restore(records []Record, now int64) (*State, error) {
	if len(records) > MaxEntries {
		return nil, fault.New(fault.Corrupt, part, "snapshot has %d segments in quarantine, more than %d", len(records), MaxEntries)
	}
	s := NewState()
	s.now = now
	for _, r := range records {
		if r.Duration == 0 {
			r.Duration = Duration.Milliseconds()
		}
		s.records[r.Segment] = r
	}
	return s, nil
}

// Add puts segments into quarantine from now, in Unix milliseconds. One that is in
// quarantine already stays as it is, because a leader may propose it again; one on probation
// is kept for twice its last duration. At the bound the oldest on probation are evicted. If
// that is not enough, none is added, and the error has kind fault.Overloaded.
func (s *State) Add(segments []Segment, now int64) *fault.Error {
	next := maps.Clone(s.records)
	for _, seg := range segments {
		r, known := next[seg]
		switch {
		case known && r.Until > now:
			continue
		case known:
			r.Duration = min(2*r.Duration, MaxDuration.Milliseconds())
		default:
			r = Record{Segment: seg, Duration: Duration.Milliseconds()}
		}
		r.Until = now + r.Duration
		next[seg] = r
	}
	if !evictFromProbation(next, now) {
		return fault.New(fault.Overloaded, part, "limit of %d segments in quarantine reached", MaxEntries)
	}
	s.records = next
	return nil
}

// evictFromProbation removes the oldest records on probation until MaxEntries are left, and
// reports whether that succeeded.
func evictFromProbation(records map[Segment]Record, now int64) bool {
	excess := len(records) - MaxEntries
	if excess <= 0 {
		return true
	}
	oldest := slices.DeleteFunc(slices.Collect(maps.Values(records)), func(r Record) bool { return r.Until > now })
	if len(oldest) < excess {
		return false
	}
	slices.SortFunc(oldest, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Until, b.Until), compare(a.Segment, b.Segment))
	})
	for _, r := range oldest[:excess] {
		delete(records, r.Segment)
	}
	return true
}

// Release ends the probation of segments. Those in quarantine stay: a probe may have failed
// after the completion that led to the release.
func (s *State) Release(segments []Segment) {
	for _, seg := range segments {
		if s.OnProbation(seg) {
			delete(s.records, seg)
		}
	}
}

// Expire sets the time to now, in Unix milliseconds, and drops the segments whose
// probation is over.
func (s *State) Expire(now int64) {
	s.now = now
	maps.DeleteFunc(s.records, func(_ Segment, r Record) bool { return r.Until+ProbationLifetime.Milliseconds() <= now })
}

// HasEnded reports whether a quarantine ends by now, in Unix milliseconds, but Expire has not
// been told yet.
func (s *State) HasEnded(now int64) bool {
	for _, r := range s.records {
		if r.Until > s.now && r.Until <= now {
			return true
		}
	}
	return false
}

// Has reports whether the segment is in quarantine.
func (s *State) Has(segment Segment) bool {
	r, found := s.records[segment]
	return found && r.Until > s.now
}

// OnProbation reports whether the quarantine of the segment is over and no response with it
// has completed since.
func (s *State) OnProbation(segment Segment) bool {
	r, found := s.records[segment]
	return found && r.Until <= s.now
}

// Entries returns the segments in quarantine, sorted by segment; nil if there are none.
func (s *State) Entries() []Entry { return s.entries(s.Has) }

// Probation returns the segments on probation, sorted by segment; nil if there are none.
func (s *State) Probation() []Entry { return s.entries(s.OnProbation) }

func (s *State) entries(include func(Segment) bool) []Entry {
	var out []Entry
	for _, r := range s.Records() {
		if include(r.Segment) {
			out = append(out, Entry{Segment: r.Segment, Until: r.Until})
		}
	}
	return out
}

// Records returns all segments, sorted by segment; nil if there are none.
func (s *State) Records() []Record {
	return slices.SortedFunc(maps.Values(s.records), func(a, b Record) int { return compare(a.Segment, b.Segment) })
}
