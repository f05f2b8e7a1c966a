package segments_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/segments"
)

// TestCompletionIsReportedAgainAfterItsReportHasLapsed guards against a segment that stays
// on probation, one request at a time, because the only report of its completion fell into a
// time without a leader: the control thread repeats a report for 10 s.
func TestCompletionIsReportedAgainAfterItsReportHasLapsed(t *testing.T) {
	c := qt.New(t)
	s := segments.NewState(1)
	suspects := []quarantine.Suspect{{Segment: 1, Since: start, Probation: true}}
	reported := 0
	for second := range 61 {
		s.Completed([]quarantine.Segment{1}, start.Add(time.Duration(second+1)*time.Second))
		if report, ok := s.Report(suspects); ok {
			reported += len(report.Completed)
		}
	}
	c.Assert(reported, qt.Equals, 7)
}
