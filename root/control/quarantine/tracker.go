package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// incidentWindow is the time within which losses count as one incident. A rack or a
	// failure domain that fails takes many engines at once, whatever they run.
	incidentWindow = 250 * time.Millisecond
	// suspectIncidents is the number of incidents from which a segment is a suspect, and
	// the VMs report the responses that complete with it.
	suspectIncidents = 2
	// quarantineIncidents is the number of incidents that a quarantine takes.
	quarantineIncidents = 3
	// observationTime is how long a segment must have been a suspect without a complete
	// response. Sound segments in common use are cleared within it.
	observationTime = time.Second
	// evidenceLifetime is how long losses count after the last one.
	evidenceLifetime = 2 * time.Minute
	// maxTracked bounds the segments with losses. At the bound, those with one incident
	// are forgotten once it is singleIncidentLifetime ago.
	maxTracked             = 4096
	singleIncidentLifetime = 5 * time.Second
	// maxEngines bounds the engines that are remembered for one segment.
	maxEngines = 64
)

// engine is one start of an engine.
type engine struct {
	id          string
	incarnation uint64
}

// evidence holds the losses of one segment.
type evidence struct {
	// engines are those that have been counted, also before the last complete response:
	// VMs may report a loss again.
	engines map[engine]bool
	// incidents are the times of the incidents since the last complete response, as many
	// as a quarantine takes.
	incidents []time.Time
	// first is the time of the first loss since then, and last that of the last loss.
	first, last time.Time
	// suspectedAt is when the segment became a suspect; zero if it is none.
	suspectedAt time.Time
}

// Tracker collects the losses that the VMs report. It is not safe for concurrent use.
type Tracker struct{ segments map[Segment]*evidence }

// NewTracker returns a tracker without losses.
func NewTracker() *Tracker { return &Tracker{segments: map[Segment]*evidence{}} }

// ObserveLoss counts a loss, once for each engine, and reports whether the segment has
// become a suspect.
func (t *Tracker) ObserveLoss(l Loss, now time.Time) bool {
	e := t.segments[l.Segment]
	if e == nil {
		if len(t.segments) >= maxTracked {
			t.forgetSingleIncidents(l.At)
		}
		if len(t.segments) >= maxTracked {
			return false
		}
		e = &evidence{engines: map[engine]bool{}}
		t.segments[l.Segment] = e
	}
	lost := engine{l.Server, l.Incarnation}
	if e.engines[lost] || len(e.engines) >= maxEngines {
		return false
	}
	e.engines[lost] = true
	if len(e.incidents) == 0 || l.At.Before(e.first) {
		e.first = l.At
	}
	if l.At.After(e.last) {
		e.last = l.At
	}
	if len(e.incidents) == quarantineIncidents || e.isCounted(l.At) {
		return false
	}
	e.incidents = append(e.incidents, l.At)
	if len(e.incidents) != suspectIncidents {
		return false
	}
	e.suspectedAt = now
	return true
}

// isCounted reports whether a loss at the given time belongs to an incident that is
// counted. Reports of several VMs arrive in any order.
func (e *evidence) isCounted(at time.Time) bool {
	return slices.ContainsFunc(e.incidents, func(t time.Time) bool { return at.Sub(t).Abs() < incidentWindow })
}

// Clear records that a response with the segment has completed after it became a
// suspect, and reports whether it was one.
func (t *Tracker) Clear(s Segment) bool {
	e := t.segments[s]
	if e == nil {
		return false
	}
	wasSuspect := !e.suspectedAt.IsZero()
	e.incidents, e.suspectedAt = nil, time.Time{}
	return wasSuspect
}

// forgetSingleIncidents makes room for segments that were lost at the given time. One
// crash of many engines may fill the tracker.
func (t *Tracker) forgetSingleIncidents(at time.Time) {
	maps.DeleteFunc(t.segments, func(_ Segment, e *evidence) bool {
		return len(e.incidents) < suspectIncidents && at.Sub(e.last) > singleIncidentLifetime
	})
}

// Expire forgets the segments without a loss for evidenceLifetime.
func (t *Tracker) Expire(now time.Time) {
	maps.DeleteFunc(t.segments, func(_ Segment, e *evidence) bool { return now.Sub(e.last) > evidenceLifetime })
}

// Suspects returns the suspects, sorted by segment; nil if there are none.
func (t *Tracker) Suspects() []Suspect {
	var out []Suspect
	for _, s := range slices.Sorted(maps.Keys(t.segments)) {
		if e := t.segments[s]; !e.suspectedAt.IsZero() {
			out = append(out, Suspect{Segment: s, Since: e.first})
		}
	}
	return out
}

// Confirmed returns the suspects that are to be put into quarantine, sorted.
func (t *Tracker) Confirmed(now time.Time) []Segment {
	var out []Segment
	for _, s := range slices.Sorted(maps.Keys(t.segments)) {
		e := t.segments[s]
		if len(e.incidents) >= quarantineIncidents && now.Sub(e.suspectedAt) >= observationTime {
			out = append(out, s)
		}
	}
	return out
}
