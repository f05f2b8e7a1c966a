package segments_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/segments"
)

type held = []quarantine.Segment

// listed returns the probes of the next report, and whether it has them.
func listed(s *segments.State) ([]quarantine.ProbeRequest, bool) {
	report, _ := s.Report(nil)
	return report.Probes, report.ProbesChanged
}

func isGranted(p *segments.Probe) bool {
	_, granted := p.GrantedAt()
	return granted
}

// TestRequestsWithTheSameSuspectsShareOneProbe guards against a crowd of requests that
// leaves no room in the list for other suspects, and against a grant used twice.
func TestRequestsWithTheSameSuspectsShareOneProbe(t *testing.T) {
	c := qt.New(t)
	s := segments.NewState(7)
	first, second := s.RequestProbe(held{2, 1}), s.RequestProbe(held{1, 2})
	other := s.RequestProbe(held{1})
	probes, changed := listed(s)
	c.Assert(changed, qt.IsTrue)
	c.Assert(probes, qt.DeepEquals, []quarantine.ProbeRequest{{ID: 7, Segments: held{1, 2}}, {ID: 8, Segments: held{1}}})

	s.GrantProbes([]uint64{7}, start)
	c.Assert([]bool{isGranted(first), isGranted(second), isGranted(other)}, qt.DeepEquals, []bool{true, false, false})
	at, _ := first.GrantedAt()
	c.Assert(at, qt.Equals, start)
	// The second request needs a grant of its own.
	probes, _ = listed(s)
	c.Assert(probes, qt.DeepEquals, []quarantine.ProbeRequest{{ID: 7, Segments: held{1, 2}}, {ID: 8, Segments: held{1}}, {ID: 9, Segments: held{1, 2}}})
	s.GrantProbes([]uint64{7}, start)
	c.Assert(isGranted(second), qt.IsFalse)

	s.EndProbe(first)
	s.EndProbe(first)
	s.EndProbe(other)
	probes, _ = listed(s)
	c.Assert(probes, qt.DeepEquals, []quarantine.ProbeRequest{{ID: 9, Segments: held{1, 2}}})
	_, changed = listed(s)
	c.Assert(changed, qt.IsFalse)
}

// TestRequestThatLeavesPassesItsPlaceOn guards against a grant that is lost with the request
// that asked for it first, and one that a request gets after it has left.
func TestRequestThatLeavesPassesItsPlaceOn(t *testing.T) {
	c := qt.New(t)
	s := segments.NewState(1)
	first, second, only := s.RequestProbe(held{1}), s.RequestProbe(held{1}), s.RequestProbe(held{2})
	s.EndProbe(first)
	s.EndProbe(only)
	s.GrantProbes([]uint64{1, 2}, start)
	c.Assert([]bool{isGranted(first), isGranted(second), isGranted(only)}, qt.DeepEquals, []bool{false, true, false})
	probes, _ := listed(s)
	c.Assert(probes, qt.DeepEquals, []quarantine.ProbeRequest{{ID: 1, Segments: held{1}}})
}

// TestFailedProbeIsReportedWithTheListWithoutIt guards against a leader that takes the probe
// for ended without a result, and lets another one crash an engine.
func TestFailedProbeIsReportedWithTheListWithoutIt(t *testing.T) {
	c := qt.New(t)
	s := segments.NewState(1)
	p := s.RequestProbe(held{3, 1})
	s.GrantProbes([]uint64{1}, start)
	listed(s)
	s.FailProbe(p, "engine-1", 7, start)
	s.FailProbe(p, "engine-1", 7, start)
	report, ok := s.Report(nil)
	c.Assert(ok, qt.IsTrue)
	c.Assert(report.FailedProbes, qt.DeepEquals, []quarantine.FailedProbe{{Segments: held{1, 3}, Server: "engine-1", Incarnation: 7, At: start}})
	c.Assert(report.ProbesChanged, qt.IsTrue)
	c.Assert(report.Probes, qt.HasLen, 0)
	_, ok = s.Report(nil)
	c.Assert(ok, qt.IsFalse)
}

// TestListOfProbesIsBoundedAndKeepsRunningOnes guards against a running probe that drops out
// of the list, which ends it for the leader.
func TestListOfProbesIsBoundedAndKeepsRunningOnes(t *testing.T) {
	c := qt.New(t)
	s := segments.NewState(1)
	for n := range 100 {
		s.RequestProbe(held{quarantine.Segment(n)})
		s.RequestProbe(held{quarantine.Segment(n)})
	}
	before, _ := listed(s)
	c.Assert(before, qt.HasLen, quarantine.MaxProbes)
	s.GrantProbes([]uint64{64, 3}, start)
	after, _ := listed(s)
	c.Assert(after, qt.HasLen, quarantine.MaxProbes)
	c.Assert([]uint64{after[0].ID, after[1].ID}, qt.DeepEquals, []uint64{3, 64})
	for _, p := range after[2:] {
		c.Check(p.ID < 64, qt.IsTrue)
	}
}

func TestProbeCoversWhatItWasRequestedFor(t *testing.T) {
	c := qt.New(t)
	p := segments.NewState(1).RequestProbe(held{5, 2})
	c.Assert(p.Covers(held{5}), qt.IsTrue)
	c.Assert(p.Covers(held{2, 5}), qt.IsTrue)
	c.Assert(p.Covers(held{2, 3}), qt.IsFalse)
}

// TestRecentCompletionsShowThatEnginesSurvive guards against a lost rack that takes the
// segments in common use out of service, and against the same rule after a quarantine.
func TestRecentCompletionsShowThatEnginesSurvive(t *testing.T) {
	c := qt.New(t)
	s := segments.NewState(1)
	s.Completed(held{1}, start)
	for _, tc := range []struct {
		suspect  quarantine.Suspect
		survives bool
	}{
		{quarantine.Suspect{Segment: 1, Since: start.Add(4900 * time.Millisecond)}, true},
		{quarantine.Suspect{Segment: 1, Since: start.Add(5 * time.Second)}, false},
		{quarantine.Suspect{Segment: 1, Since: start.Add(-time.Hour)}, true},
		{quarantine.Suspect{Segment: 1, Since: start, Probation: true}, false},
		{quarantine.Suspect{Segment: 2, Since: start}, false},
	} {
		c.Check(s.Survives(tc.suspect), qt.Equals, tc.survives, qt.Commentf("%+v", tc.suspect))
	}
}

// blockedControl takes no event until it is released.
type blockedControl struct {
	posted  chan machine.SegmentReport
	release chan struct{}
}

func (b *blockedControl) Post(_ context.Context, ev machine.Event) error {
	<-b.release
	b.posted <- ev.(machine.SegmentReport)
	return nil
}

// TestObserverNeverBlocksTheControlThread grants a probe while the control thread does not
// take the observer's report, as it can't while it grants.
func TestObserverNeverBlocksTheControlThread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		control := &blockedControl{posted: make(chan machine.SegmentReport, 8), release: make(chan struct{})}
		o := segments.NewObserver(control, &view.Store{}, time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p := o.RequestProbe(held{1})
		go o.Serve(ctx)
		// The first report is due at once, but a timer fires only when time passes.
		time.Sleep(time.Millisecond)
		synctest.Wait()
		o.GrantProbes([]uint64{1, 2, 3})
		o.FailProbe(p, fleet.Server{ID: "engine-1", Incarnation: 7}, start)
		close(control.release)
		began := time.Now()
		first := <-control.posted
		c.Assert(first.Probes, qt.HasLen, 1)
		second := <-control.posted
		c.Assert(second.FailedProbes, qt.HasLen, 1)
		c.Assert(second.Probes, qt.HasLen, 0)
		c.Assert(time.Since(began) <= 50*time.Millisecond, qt.IsTrue)

		// After a pause, a request is reported at once.
		time.Sleep(time.Second)
		began = time.Now()
		o.RequestProbe(held{2})
		third := <-control.posted
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		c.Assert(third.Probes[0].ID > first.Probes[0].ID, qt.IsTrue)
	})
}
