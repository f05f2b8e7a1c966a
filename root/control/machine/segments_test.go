package machine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
)

const (
	deadlySegment quarantine.Segment = 7
	soundSegment  quarantine.Segment = 8
	// quarantineDeadline is the time from a failed probe until every process has the
	// quarantine.
	quarantineDeadline = 1500 * time.Millisecond
	// newsDeadline is the time until every process has a new view, or the answer to a
	// report, in a network that loses messages.
	newsDeadline = time.Second
)

var bothSegments = []quarantine.Segment{deadlySegment, soundSegment}

// crashEngine lets the n-th engine end during a request with both segments that entered
// at the given node.
func (sim *simulation) crashEngine(at *node, n int) {
	report := machine.SegmentReport{}
	for _, s := range bothSegments {
		report.Losses = append(report.Losses, quarantine.Loss{Segment: s, Server: fmt.Sprint("engine-", n), Incarnation: 1, At: at.localTime()})
	}
	at.step(report)
}

// crashTwoEngines makes both segments suspects, by the reports of two entries.
func (sim *simulation) crashTwoEngines() {
	for i := range 2 {
		sim.crashEngine(sim.nodes[replicas+i], i)
	}
}

// complete lets a response with the segment complete at the node.
func (n *node) complete(s quarantine.Segment) {
	n.step(machine.SegmentReport{Completed: []quarantine.Completion{{Segment: s, At: n.localTime()}}})
}

// wantProbe makes the node want one probe and no other.
func (n *node) wantProbe(id uint64, segments ...quarantine.Segment) {
	n.granted = nil
	n.step(machine.SegmentReport{ProbesChanged: true, Probes: []quarantine.ProbeRequest{{ID: id, Segments: segments}}})
}

// endProbe reports that the node wants and runs no probe any more.
func (n *node) endProbe() { n.step(machine.SegmentReport{ProbesChanged: true}) }

// failProbe lets the node's only probe end with its engine.
func (n *node) failProbe(engine int, segments ...quarantine.Segment) {
	p := quarantine.FailedProbe{Segments: segments, Server: fmt.Sprint("engine-", engine), Incarnation: 1, At: n.localTime()}
	n.step(machine.SegmentReport{ProbesChanged: true, FailedProbes: []quarantine.FailedProbe{p}})
}

// isGranted reports whether the node may run the probe.
func (n *node) isGranted(id uint64) bool { return slices.Contains(n.granted, id) }

// everywhere reports whether a condition on the segments holds in the view of every running
// process.
func (sim *simulation) everywhere(holds func(quarantine.List) bool) bool {
	return !slices.ContainsFunc(sim.nodes, func(n *node) bool { return !n.down && !holds(n.view.Segments) })
}

func isQuarantined(s quarantine.Segment) func(quarantine.List) bool {
	return func(l quarantine.List) bool {
		_, found := l.Find([]quarantine.Segment{s})
		return found
	}
}

func isSuspect(s quarantine.Segment) func(quarantine.List) bool {
	return func(l quarantine.List) bool { return l.HasSuspect([]quarantine.Segment{s}) }
}

func isOnProbation(s quarantine.Segment) func(quarantine.List) bool {
	return func(l quarantine.List) bool {
		suspect, found := l.Suspect(s)
		return found && suspect.Probation
	}
}

// isFree reports whether the segment is neither a suspect nor in quarantine.
func isFree(s quarantine.Segment) func(quarantine.List) bool {
	return func(l quarantine.List) bool { return !isSuspect(s)(l) && !isQuarantined(s)(l) }
}

// TestCrashingSegmentReachesEveryProcess crashes two engines and fails one probe. The
// healthy segment of the same requests is cleared. The quarantine outlives the leader and a
// restart of all processes.
func TestCrashingSegmentReachesEveryProcess(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 5; seed++ {
		comment := qt.Commentf("seed %d", seed)
		sim := newSimulation(seed, machine.RuleNone)
		old := sim.waitForLeader()
		sim.runFor(time.Second)
		sim.crashTwoEngines()
		sim.runFor(newsDeadline)
		c.Assert(sim.everywhere(isSuspect(deadlySegment)), qt.IsTrue, comment)
		c.Assert(sim.everywhere(isSuspect(soundSegment)), qt.IsTrue, comment)

		entry := sim.nodes[replicas]
		entry.wantProbe(1, bothSegments...)
		sim.runFor(newsDeadline)
		c.Assert(entry.isGranted(1), qt.IsTrue, comment)
		entry.failProbe(2, bothSegments...)
		sim.nodes[replicas+1].complete(soundSegment)
		sim.runFor(quarantineDeadline)
		c.Assert(sim.everywhere(isQuarantined(deadlySegment)), qt.IsTrue, comment)
		c.Assert(sim.everywhere(isFree(soundSegment)), qt.IsTrue, comment)

		old.crash()
		sim.nextLeader(old)
		sim.runFor(3 * time.Second)
		c.Assert(sim.everywhere(isQuarantined(deadlySegment)), qt.IsTrue, comment)

		for _, n := range sim.nodes {
			n.crash()
		}
		for _, n := range sim.nodes {
			n.start()
		}
		sim.runFor(5 * time.Second)
		c.Assert(sim.everywhere(isQuarantined(deadlySegment)), qt.IsTrue, comment)
		c.Assert(sim.everywhere(isFree(soundSegment)), qt.IsTrue, comment)
		c.Assert(sim.violation, qt.Equals, "", comment)
	}
}

// TestNewLeaderContinuesProbes loses the leader after the losses and before the probe has
// been granted, and another one while the probe runs.
func TestNewLeaderContinuesProbes(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 5; seed++ {
		comment := qt.Commentf("seed %d", seed)
		sim := newSimulation(seed, machine.RuleNone)
		old := sim.waitForLeader()
		sim.runFor(time.Second)
		sim.crashTwoEngines()
		old.crash()
		entry := sim.nodes[replicas]
		entry.wantProbe(1, bothSegments...)
		next := sim.nextLeader(old)
		sim.runFor(machine.DefaultTiming().RenewTimeout + newsDeadline)
		c.Assert(sim.everywhere(isSuspect(deadlySegment)), qt.IsTrue, comment)
		c.Assert(entry.isGranted(1), qt.IsTrue, comment)

		old.start()
		sim.runFor(2 * time.Second)
		next.crash()
		entry.failProbe(2, deadlySegment)
		sim.nextLeader(next)
		sim.runFor(machine.DefaultTiming().RenewTimeout + quarantineDeadline)
		c.Assert(sim.everywhere(isQuarantined(deadlySegment)), qt.IsTrue, comment)
		c.Assert(sim.everywhere(isSuspect(soundSegment)), qt.IsTrue, comment)
		c.Assert(sim.violation, qt.Equals, "", comment)
	}
}

// TestNewLeaderWaitsForRunningProbes loses the leader while a probe runs at one entry and
// another one wants one of the same suspect.
func TestNewLeaderWaitsForRunningProbes(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 8; seed++ {
		comment := qt.Commentf("seed %d", seed)
		sim := newSimulation(seed, machine.RuleNone)
		sim.lossless = true
		old := sim.waitForLeader()
		sim.runFor(time.Second)
		sim.crashTwoEngines()
		sim.runFor(newsDeadline)
		running, waiting := sim.nodes[replicas], sim.nodes[replicas+1]
		running.wantProbe(1, deadlySegment)
		sim.runFor(100 * time.Millisecond)
		granted := sim.now
		c.Assert(running.isGranted(1), qt.IsTrue, comment)
		waiting.wantProbe(1, deadlySegment)
		// A new list must not make the running probe one that waits.
		running.step(machine.SegmentReport{ProbesChanged: true, Probes: []quarantine.ProbeRequest{
			{ID: 1, Segments: []quarantine.Segment{deadlySegment}}, {ID: 2, Segments: bothSegments},
		}})
		old.crash()
		sim.nextLeader(old)
		sim.runFor(granted.Add(2700 * time.Millisecond).Sub(sim.now))
		c.Assert(waiting.isGranted(1), qt.IsFalse, comment)
		sim.runFor(newsDeadline)
		c.Assert(waiting.isGranted(1), qt.IsTrue, comment)
	}
}

// TestSuspectsOutliveTheLeader loses the leader when the losses are older than the time for
// which entries repeat them. Without the suspects, requests would reach engines again.
func TestSuspectsOutliveTheLeader(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(2, machine.RuleNone)
	old := sim.waitForLeader()
	sim.runFor(time.Second)
	sim.crashTwoEngines()
	sim.runFor(12 * time.Second)
	old.crash()
	sim.nextLeader(old)
	sim.runFor(3 * time.Second)
	c.Assert(sim.everywhere(isSuspect(deadlySegment)), qt.IsTrue)
	for _, n := range sim.nodes[replicas:] {
		n.complete(deadlySegment)
	}
	sim.runFor(newsDeadline)
	c.Assert(sim.everywhere(isFree(deadlySegment)), qt.IsTrue)
}

// TestRackFailureQuarantinesNothing loses many engines at once during requests with segments
// in common use. Their probes complete.
func TestRackFailureQuarantinesNothing(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(4, machine.RuleNone)
	sim.waitForLeader()
	sim.runFor(time.Second)
	for i := range 20 {
		sim.crashEngine(sim.nodes[i%len(sim.nodes)], i)
	}
	sim.runFor(newsDeadline)
	c.Assert(sim.everywhere(isSuspect(soundSegment)), qt.IsTrue)
	entry := sim.nodes[replicas]
	entry.wantProbe(1, bothSegments...)
	sim.runFor(newsDeadline)
	c.Assert(entry.isGranted(1), qt.IsTrue)
	for _, s := range bothSegments {
		entry.complete(s)
	}
	entry.endProbe()
	for range 10 {
		sim.runFor(newsDeadline)
		c.Assert(sim.everywhere(isFree(soundSegment)), qt.IsTrue)
		c.Assert(sim.everywhere(isFree(deadlySegment)), qt.IsTrue)
	}
}

// TestOneEntryProbesAtATime has two entries want probes of the same suspect, of which one
// is frozen when it has got its grant. No view is published for a grant.
func TestOneEntryProbesAtATime(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(6, machine.RuleNone)
	sim.lossless = true
	sim.waitForLeader()
	sim.runFor(time.Second)
	sim.crashTwoEngines()
	sim.runFor(newsDeadline)
	first, second := sim.nodes[replicas], sim.nodes[replicas+1]
	before := first.view.Seq
	first.wantProbe(1, deadlySegment)
	sim.runFor(100 * time.Millisecond)
	second.wantProbe(1, deadlySegment, soundSegment)
	sim.runFor(100 * time.Millisecond)
	c.Assert(first.isGranted(1), qt.IsTrue)
	c.Assert(second.isGranted(1), qt.IsFalse)
	c.Assert(first.view.Segments.SameAs(second.view.Segments), qt.IsTrue)
	c.Assert(first.view.Seq-before <= 1, qt.IsTrue)

	// It has ended, and the other entry is told without a Renew of its own.
	first.endProbe()
	sim.runFor(50 * time.Millisecond)
	c.Assert(second.isGranted(1), qt.IsTrue)

	second.pausedUntil = sim.now.Add(8 * time.Second)
	first.wantProbe(2, deadlySegment)
	sim.runFor(2 * time.Second)
	c.Assert(first.isGranted(2), qt.IsFalse)
	sim.runFor(1500 * time.Millisecond)
	c.Assert(first.isGranted(2), qt.IsTrue)
}

// TestProbationEndsWithAProbe lets two quarantines end. One probe completes and the other
// one fails.
func TestProbationEndsWithAProbe(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(8, machine.RuleNone)
	sim.lossless = true
	sim.waitForLeader()
	sim.runFor(time.Second)
	sim.crashTwoEngines()
	entry := sim.nodes[replicas]
	for i, s := range bothSegments {
		entry.failProbe(10+i, s)
		sim.runFor(time.Second)
		c.Assert(sim.everywhere(isQuarantined(s)), qt.IsTrue)
	}
	sim.runFor(quarantine.Duration + 3*time.Second)
	for _, s := range bothSegments {
		c.Assert(sim.everywhere(isOnProbation(s)), qt.IsTrue)
		// A late report of a completion before the probation does not end it.
		early := quarantine.Completion{Segment: s, At: entry.localTime().Add(-10 * time.Second)}
		entry.step(machine.SegmentReport{Completed: []quarantine.Completion{early}})
	}
	entry.wantProbe(1, deadlySegment)
	sim.runFor(newsDeadline)
	c.Assert(sim.everywhere(isOnProbation(soundSegment)), qt.IsTrue)
	c.Assert(entry.isGranted(1), qt.IsTrue)
	entry.failProbe(12, deadlySegment)
	entry.complete(soundSegment)
	sim.runFor(quarantineDeadline)
	c.Assert(sim.everywhere(isQuarantined(deadlySegment)), qt.IsTrue)
	c.Assert(sim.everywhere(isFree(soundSegment)), qt.IsTrue)
	until := entry.view.Segments.Quarantined[0].Until
	c.Assert(time.UnixMilli(until).Sub(sim.now) > quarantine.Duration+time.Minute, qt.IsTrue)
}
