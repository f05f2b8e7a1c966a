package segments_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/segments"
)

var start = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)

func TestOnlyLaterCompletionsClearASuspect(t *testing.T) {
	c := qt.New(t)
	s := segments.NewState(1)
	s.Completed([]quarantine.Segment{1, 2}, start)
	s.Completed([]quarantine.Segment{2}, start.Add(2*time.Second))
	suspects := []quarantine.Suspect{
		{Segment: 1, Since: start.Add(time.Second)}, {Segment: 2, Since: start.Add(time.Second)}, {Segment: 3, Since: start},
	}
	report, ok := s.Report(suspects)
	c.Assert(ok, qt.IsTrue)
	c.Assert(report.Completed, qt.DeepEquals, []quarantine.Completion{{Segment: 2, At: start.Add(2 * time.Second)}})
	c.Assert(report.Losses, qt.HasLen, 0)
	_, ok = s.Report(suspects[:1])
	c.Assert(ok, qt.IsFalse)
}

func TestLossesAreReportedOnceAndBounded(t *testing.T) {
	c := qt.New(t)
	s := segments.NewState(1)
	for n := range uint64(1000) {
		s.Lost([]quarantine.Segment{1, 2}, "engine-1", 7+n, start)
	}
	report, ok := s.Report(nil)
	c.Assert(ok, qt.IsTrue)
	c.Assert(report.Losses, qt.HasLen, 256)
	c.Assert(report.Losses[1], qt.Equals, quarantine.Loss{Segment: 2, Server: "engine-1", Incarnation: 7, At: start})
	_, ok = s.Report(nil)
	c.Assert(ok, qt.IsFalse)
}

// TestRequestsAtOneEngineLeaveRoomForEachSegment loses an engine under many requests with
// common segments, and last under one whose segment made it crash.
func TestRequestsAtOneEngineLeaveRoomForEachSegment(t *testing.T) {
	c := qt.New(t)
	s := segments.NewState(1)
	common := []quarantine.Segment{1, 2, 3, 4, 5, 6}
	for range 48 {
		s.Lost(common, "engine-1", 7, start)
	}
	s.Lost([]quarantine.Segment{1, 99}, "engine-1", 7, start)
	report, _ := s.Report(nil)
	c.Assert(report.Losses, qt.HasLen, len(common)+1)
	c.Assert(report.Losses[len(common)].Segment, qt.Equals, quarantine.Segment(99))
}

// TestCompletionIsReportedOncePerSuspicion guards against entries that renew with each
// response while a common segment is a suspect.
func TestCompletionIsReportedOncePerSuspicion(t *testing.T) {
	c := qt.New(t)
	s := segments.NewState(1)
	suspects := []quarantine.Suspect{{Segment: 1, Since: start}}
	s.Completed([]quarantine.Segment{1}, start.Add(time.Second))
	report, ok := s.Report(suspects)
	c.Assert(ok, qt.IsTrue)
	c.Assert(report.Completed, qt.DeepEquals, []quarantine.Completion{{Segment: 1, At: start.Add(time.Second)}})
	s.Completed([]quarantine.Segment{1}, start.Add(2*time.Second))
	_, ok = s.Report(suspects)
	c.Assert(ok, qt.IsFalse)

	// The segment is suspected again, as by a new leader.
	_, ok = s.Report([]quarantine.Suspect{{Segment: 1, Since: start.Add(time.Millisecond)}})
	c.Assert(ok, qt.IsTrue)
	s.Report(nil)
	_, ok = s.Report(suspects)
	c.Assert(ok, qt.IsTrue)
}

func TestOldestCompletionsAreForgotten(t *testing.T) {
	c := qt.New(t)
	s := segments.NewState(1)
	for i := range 10_000 {
		s.Completed([]quarantine.Segment{quarantine.Segment(i)}, start.Add(time.Second))
	}
	report, _ := s.Report([]quarantine.Suspect{{Segment: 0, Since: start}, {Segment: 9_999, Since: start}})
	c.Assert(report.Completed, qt.DeepEquals, []quarantine.Completion{{Segment: 9_999, At: start.Add(time.Second)}})
}
