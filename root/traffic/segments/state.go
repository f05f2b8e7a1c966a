// Package segments observes what this entry's requests show about the prompt segments
// that they hold: engines that ended under them, and responses that completed. It also asks
// for the permission to probe suspects. State does no I/O and reads no clock; Observer makes
// it safe for concurrent use and reports to the control thread.
package segments

import (
	"container/list"
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
)

const (
	// maxCompletions bounds the segments whose last complete response is remembered.
	maxCompletions = 8192
	// maxLosses bounds the losses of one report. Further ones are dropped: a crash
	// implicates a few segments, and the same ones are lost with other engines.
	maxLosses = 256
	// survivalMemory is how long before a suspicion a response may have completed to show
	// that engines survive the segment. Popular segments so stay in service when a rack is
	// lost under them.
	survivalMemory = 5 * time.Second
	// completionInterval is the least time between the completions of two reports for one
	// suspicion. The control thread drops a report that no leader has confirmed for 10 s.
	completionInterval = 10 * time.Second
)

// State holds the observations of one entry.
type State struct {
	// completions maps a segment to its element in recent, whose values are of type
	// completion, most recent first.
	completions map[quarantine.Segment]*list.Element
	recent      *list.List
	losses      []quarantine.Loss
	failed      []quarantine.FailedProbe
	probes      probes
	// cleared holds the suspects that were reported as completed. The control thread repeats
	// a report for some time until the leader has it.
	cleared map[quarantine.Segment]clearedSuspect
}

// clearedSuspect is a suspect that was reported as completed.
type clearedSuspect struct {
	since time.Time
	// at is the completion that was reported.
	at time.Time
}

// completion is the time of the last complete response with a segment.
type completion struct {
	segment quarantine.Segment
	at      time.Time
}

// NewState returns a state without observations. The ids of probes count up from firstID.
func NewState(firstID uint64) *State {
	return &State{completions: map[quarantine.Segment]*list.Element{}, recent: list.New(), probes: probes{nextID: firstID}}
}

// Lost records that an engine ended under a request with these segments.
func (s *State) Lost(held []quarantine.Segment, server string, incarnation uint64, at time.Time) {
	for _, segment := range held {
		if len(s.losses) == maxLosses {
			return
		}
		if !s.hasLoss(segment, server, incarnation) {
			s.losses = append(s.losses, quarantine.Loss{Segment: segment, Server: server, Incarnation: incarnation, At: at})
		}
	}
}

// hasLoss reports whether the next report has the loss. Most requests at an engine share
// their leading segments.
func (s *State) hasLoss(segment quarantine.Segment, server string, incarnation uint64) bool {
	return slices.ContainsFunc(s.losses, func(l quarantine.Loss) bool {
		return l.Segment == segment && l.Incarnation == incarnation && l.Server == server
	})
}

// Completed records that a response to a request with these segments has completed.
func (s *State) Completed(held []quarantine.Segment, at time.Time) {
	for _, segment := range held {
		if e := s.completions[segment]; e != nil {
			e.Value = completion{segment, at}
			s.recent.MoveToFront(e)
			continue
		}
		s.completions[segment] = s.recent.PushFront(completion{segment, at})
		if s.recent.Len() > maxCompletions {
			oldest := s.recent.Remove(s.recent.Back()).(completion)
			delete(s.completions, oldest.segment)
		}
	}
}

// Survives reports whether a response with the suspect has completed here so shortly before
// the suspicion, or after it, that the loss of the engines must have had another reason. For
// a segment on probation this is unknown.
func (s *State) Survives(suspect quarantine.Suspect) bool {
	e := s.completions[suspect.Segment]
	return e != nil && !suspect.Probation && e.Value.(completion).at.After(suspect.Since.Add(-survivalMemory))
}

// RequestProbe requests the permission to send one request with these suspects. EndProbe or
// FailProbe must be called for the result.
func (s *State) RequestProbe(suspects []quarantine.Segment) *Probe { return s.probes.request(suspects) }

// GrantProbes permits the probes with these ids.
func (s *State) GrantProbes(ids []uint64, now time.Time) { s.probes.grant(ids, now) }

// EndProbe ends a probe, or the wait for its permission. Later calls do nothing.
func (s *State) EndProbe(p *Probe) { s.probes.end(p) }

// FailProbe ends a probe under which an engine ended. It does nothing after EndProbe.
func (s *State) FailProbe(p *Probe, server string, incarnation uint64, at time.Time) {
	if s.probes.end(p) {
		s.failed = append(s.failed, quarantine.FailedProbe{Segments: p.suspects, Server: server, Incarnation: incarnation, At: at})
	}
}

// Report returns the losses and failed probes since the last report, the suspects with which
// a response has completed since they were first lost, each once in completionInterval while
// it is a suspect, and all probes if they have changed. It reports false if there is none of these.
func (s *State) Report(suspects []quarantine.Suspect) (machine.SegmentReport, bool) {
	report := machine.SegmentReport{Losses: s.losses, FailedProbes: s.failed, ProbesChanged: s.probes.changed}
	if s.probes.changed {
		report.Probes = s.probes.list()
	}
	s.losses, s.failed, s.probes.changed = nil, nil, false
	cleared := make(map[quarantine.Segment]clearedSuspect, len(s.cleared))
	for _, suspect := range suspects {
		e := s.completions[suspect.Segment]
		if e == nil || !e.Value.(completion).at.After(suspect.Since) {
			continue
		}
		at := e.Value.(completion).at
		known, reported := s.cleared[suspect.Segment]
		if !reported || !known.since.Equal(suspect.Since) || at.Sub(known.at) >= completionInterval {
			known = clearedSuspect{suspect.Since, at}
			report.Completed = append(report.Completed, quarantine.Completion{Segment: suspect.Segment, At: at})
		}
		cleared[suspect.Segment] = known
	}
	s.cleared = cleared
	return report, len(report.Losses)+len(report.FailedProbes)+len(report.Completed) > 0 || report.ProbesChanged
}
