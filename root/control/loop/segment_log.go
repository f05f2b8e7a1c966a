package loop

import (
	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// logSegmentEvent writes what this leader has done about prompt segments.
func logSegmentEvent(log logr.Logger, e machine.SegmentEvent) {
	segments := make([]string, 0, len(e.Segments))
	for _, s := range e.Segments {
		segments = append(segments, s.String())
	}
	log = log.WithValues("term", e.Term, "segments", segments)
	switch e.Kind {
	case machine.SegmentSuspected:
		log = log.WithValues("engines", e.Engines, "entries", e.Entries)
	case machine.SegmentCleared, machine.SegmentReleased:
		log = log.WithValues("entries", e.Entries)
	case machine.SegmentConfirmed:
	default:
		log = log.WithValues("entries", e.Entries, "probe", e.Probe)
	}
	log.Info(e.Kind.String())
}
