// Package quarantine finds the prompt segments on which engines crash, and keeps the
// requests that hold one from the engines. An engine runs many requests at once, so a
// crash implicates all of their segments. A sound segment is cleared by the next
// response that completes with it; a deadly one never completes.
//
// Tracker gathers this evidence on the leader, State is the part that is replicated. The
// package does no I/O, reads no clock and starts no goroutines.
package quarantine

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const part = "control/quarantine"

// MaxProbes bounds the probes that one process wants or is running.
const MaxProbes = 64

// Segment identifies a prompt segment of one service; see Key.
type Segment uint64

// Key returns the Segment of a segment id as callers send it.
func Key(service, id string) Segment {
	h := xxhash.New()
	// Writes to a hash don't fail.
	_, _ = h.WriteString(service + "\x00" + id)
	return Segment(h.Sum64())
}

// String returns the segment as it stands in logs and error messages.
func (s Segment) String() string { return fmt.Sprintf("%016x", uint64(s)) }

// Loss reports that an engine ended while it was to answer a prompt with a segment.
type Loss struct {
	Segment Segment
	// Server and Incarnation identify the engine.
	Server      string
	Incarnation uint64
	// At is when the connection to the engine was lost, by the local clock.
	At time.Time
}

// Suspect is a segment that several crashed engines had in common.
type Suspect struct {
	Segment Segment
	// Since is the time of the first of the losses, by the local clock. A response that
	// completes after it shows that engines survive the segment.
	Since time.Time
	// Probation is set after a quarantine. The segment is then gated at each entry, whatever
	// has completed there before Since.
	Probation bool
}

// Completion is the completion of a response to a prompt with a segment.
type Completion struct {
	Segment Segment
	// At is when the response completed, by the local clock.
	At time.Time
}

// ProbeRequest asks for the permission to send one request with suspects to an engine.
type ProbeRequest struct {
	// ID is unique in the process.
	ID uint64
	// Segments are the suspects of the request.
	Segments []Segment
	// GrantedAt is when the permission was given, by the local clock; zero before. Only the
	// control thread sets it.
	GrantedAt time.Time
}

// FailedProbe reports that an engine ended during a probe.
type FailedProbe struct {
	// Segments are the suspects of the request.
	Segments []Segment
	// Server and Incarnation identify the engine.
	Server      string
	Incarnation uint64
	// At is when the connection to the engine was lost, by the local clock.
	At time.Time
}

// Entry is a quarantined segment.
type Entry struct {
	Segment Segment
	// Until is the end of the quarantine in Unix milliseconds.
	Until int64
}

// List holds the segments that every VM needs to know. Both lists are sorted by segment.
type List struct {
	Quarantined []Entry
	Suspects    []Suspect
}

// SameAs reports whether both lists are the same.
func (l List) SameAs(other List) bool {
	return slices.Equal(l.Quarantined, other.Quarantined) &&
		slices.EqualFunc(l.Suspects, other.Suspects, func(a, b Suspect) bool {
			return a.Segment == b.Segment && a.Since.Equal(b.Since) && a.Probation == b.Probation
		})
}

// Find returns the first of the segments that is quarantined, and whether there is one.
func (l List) Find(segments []Segment) (Entry, bool) {
	for _, s := range segments {
		i, found := slices.BinarySearchFunc(l.Quarantined, s, func(e Entry, s Segment) int { return compare(e.Segment, s) })
		if found {
			return l.Quarantined[i], true
		}
	}
	return Entry{}, false
}

// Suspect returns the suspect with the given segment, and whether there is one.
func (l List) Suspect(segment Segment) (Suspect, bool) {
	i, found := slices.BinarySearchFunc(l.Suspects, segment, func(s Suspect, k Segment) int { return compare(s.Segment, k) })
	if !found {
		return Suspect{}, false
	}
	return l.Suspects[i], true
}

// HasSuspect reports whether one of the segments is a suspect.
func (l List) HasSuspect(segments []Segment) bool {
	return slices.ContainsFunc(segments, func(s Segment) bool {
		_, found := l.Suspect(s)
		return found
	})
}

func compare(a, b Segment) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
