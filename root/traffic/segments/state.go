// Package segments observes what this entry's requests show about the prompt segments
// that they hold: engines that ended under them, and responses that completed. State does
// no I/O and reads no clock; Observer makes it safe for concurrent use and reports to the
// control thread.
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
)

// State holds the observations of one entry.
type State struct {
	// completions maps a segment to its element in recent, whose values are of type
	// completion, most recent first.
	completions map[quarantine.Segment]*list.Element
	recent      *list.List
	losses      []quarantine.Loss
	// cleared holds the suspects that were reported as completed, with their Since. The
	// control thread repeats a report until the leader has it.
	cleared map[quarantine.Segment]time.Time
}

// completion is the time of the last complete response with a segment.
type completion struct {
	segment quarantine.Segment
	at      time.Time
}

// NewState returns a state without observations.
func NewState() *State {
	return &State{completions: map[quarantine.Segment]*list.Element{}, recent: list.New()}
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

// Report returns the losses since the last report, and the suspects with which a
// response has completed since they were first lost, each once while it is a suspect. It
// reports false if there are neither.
func (s *State) Report(suspects []quarantine.Suspect) (machine.SegmentReport, bool) {
	report := machine.SegmentReport{Losses: s.losses}
	s.losses = nil
	cleared := make(map[quarantine.Segment]time.Time, len(s.cleared))
	for _, suspect := range suspects {
		e := s.completions[suspect.Segment]
		if e == nil || !e.Value.(completion).at.After(suspect.Since) {
			continue
		}
		at := e.Value.(completion).at
		if since, reported := s.cleared[suspect.Segment]; !reported || !since.Equal(suspect.Since) {
			report.Completed = append(report.Completed, quarantine.Completion{Segment: suspect.Segment, At: at})
		}
		cleared[suspect.Segment] = suspect.Since
	}
	s.cleared = cleared
	return report, len(report.Losses) > 0 || len(report.Completed) > 0
}
