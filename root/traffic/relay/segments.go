package relay

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/segments"
)

// SegmentObserver observes what requests show about the prompt segments that they hold.
type SegmentObserver interface {
	// Lost records that an engine ended under a request with these segments. Times are by
	// the clock of leases.
	Lost(held []quarantine.Segment, s fleet.Server, at time.Time)
	// Completed records that a response to a request with these segments has completed, or
	// that its output continues long after the first event.
	Completed(held []quarantine.Segment, at time.Time)
	// Survives reports whether responses that completed at this entry show that engines
	// survive a suspect.
	Survives(suspect quarantine.Suspect) bool
	// RequestProbe requests the permission to send one request with these suspects. EndProbe
	// or FailProbe ends the probe or the wait for its permission. FailProbe records the
	// engine that ended during the probe.
	RequestProbe(suspects []quarantine.Segment) *segments.Probe
	EndProbe(p *segments.Probe)
	FailProbe(p *segments.Probe, s fleet.Server, at time.Time)
}

// maxHeldSegments bounds the segments of one prompt that are observed. Those at its start
// are shared most.
const maxHeldSegments = 64

// survivalTime is how long an engine must continue its output to show that it survives
// the segments of a prompt. One that does not crashes when it begins to answer.
const survivalTime = time.Second

// survivalClock tells when a stream shows that its engine survives: for each survivalTime
// after the first event.
type survivalClock struct{ first, last, next time.Time }

// due is called for each event.
func (s *survivalClock) due(now time.Time) bool {
	s.last = now
	if s.first.IsZero() {
		s.first = now
	}
	if !s.next.IsZero() && now.Before(s.next) {
		return false
	}
	first := s.next.IsZero()
	s.next = now.Add(survivalTime)
	return !first
}

// outputTime returns the time from the first event to the last.
func (s *survivalClock) outputTime() time.Duration { return s.last.Sub(s.first) }

// heldSegments returns the shared segments of the prompt, each once. The last segment
// belongs to the request alone.
func (r *requestRun) heldSegments() []quarantine.Segment {
	if r.held != nil || r.service.Engine == nil {
		return r.held
	}
	prompt := r.req.Prompt.Segments
	for i := range min(len(prompt)-1, maxHeldSegments) {
		if key := quarantine.Key(r.service.Name, prompt[i].ID); !slices.Contains(r.held, key) {
			r.held = append(r.held, key)
		}
	}
	return r.held
}

// segmentNames returns the shared segments of the prompt for the log: each with its id
// and the key under which views and errors name it.
func (r *requestRun) segmentNames() []string {
	var out []string
	prompt := r.req.Prompt.Segments
	for i := range min(len(prompt)-1, maxHeldSegments) {
		out = append(out, prompt[i].ID+"="+quarantine.Key(r.service.Name, prompt[i].ID).String())
	}
	return out
}

// checkQuarantine returns an error if engines crash on a segment of the prompt. It is
// called before each transmission, because other entries may have found the segment while
// the request waited.
func (r *requestRun) checkQuarantine() *fault.Error {
	v := r.Views.Load()
	entry, found := v.Segments.Find(r.heldSegments())
	if !found {
		return nil
	}
	err := fault.New(fault.Quarantined, part, "engines crash on segment %s of the prompt", entry.Segment)
	return err.WithRetryAfter(max(defaultRetry, time.Until(time.UnixMilli(entry.Until))))
}

// mayCrashAnother reports whether an engine has ended under the request and others have
// ended under one of its segments.
func (r *requestRun) mayCrashAnother() bool {
	return r.engineEnded.Load() && r.Views.Load().Segments.HasSuspect(r.heldSegments())
}
