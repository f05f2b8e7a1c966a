package machine_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// Replay one seed of the tests of series with:
//
//	go test ./root/control/machine -run TestSeries -series.seed=N -series.runs=1 -v
var (
	seriesSeed = flag.Uint64("series.seed", 47, "first seed of the series of losses")
	seriesRuns = flag.Int("series.runs", 1, "number of seeds of the series of losses")
)

const (
	// settingsAge is the age of the settings that a started replica reads.
	settingsAge = 3 * time.Second
	// maxAckGap is the longest time in which no change of a series is acknowledged.
	maxAckGap = 4 * time.Second
	// changeInterval is the time between the changes of a series.
	changeInterval = 200 * time.Millisecond
	seriesLosses   = 6
	// recoveryTime is the time after a loss of power and of a disk at once until all
	// replicas vote again.
	recoveryTime = 12 * time.Second
	// killedTime is the time for which killed nodes are down.
	killedTime = 500 * time.Millisecond
)

// join is a replica's way to become a voter.
type join struct {
	since time.Time
	limit time.Duration
}

// series is a simulation in which replicas are lost one at a time, the next one catchUpTime
// after the last one is back or its successor has started. Changes come all the while.
type series struct {
	*openSimulation
	// waiting holds the replicas that are to become voters, from when they are up and
	// connected.
	waiting map[*node]join
	// joinTimes are the times that replicas took to become voters, except after a loss of
	// power and of a disk at once.
	joinTimes []time.Duration
	// live holds the replicas that were up at past moments, one a changeInterval.
	live       [][]*node
	nextChange time.Time
	// ackedAt is when a change was acknowledged for the last time, maxGap the longest
	// time between two of these.
	ackedAt time.Time
	maxGap  time.Duration
	events  []string
}

func newSeries(seed uint64, core int) *series {
	s := &series{openSimulation: newOpenCore(seed, machine.RuleNone, core-replicas), waiting: map[*node]join{}}
	s.trackAcks()
	s.runFor(rejoinTime)
	s.ackedAt = s.now
	s.run(changeInterval)
	return s
}

// run runs for d. It fails once a replica takes longer than catchUpTime to become a voter
// or no change is acknowledged for maxAckGap.
func (s *series) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end) && s.violation == ""; {
		before := s.ackedVersion
		s.advance()
		if !s.now.Before(s.nextChange) {
			s.nextChange = s.now.Add(changeInterval)
			s.live = append(s.live, s.connectedReplicas())
			s.proposeRoutes()
		}
		if s.ackedVersion > before {
			s.ackedAt = s.now
		}
		s.maxGap = max(s.maxGap, s.now.Sub(s.ackedAt))
		if s.now.Sub(s.ackedAt) > maxAckGap {
			s.fail("no change was acknowledged for %s", maxAckGap)
		}
		s.checkWaiting()
	}
}

func (s *series) checkWaiting() {
	leader := s.currentLeader()
	for _, n := range s.nodes {
		j, waits := s.waiting[n]
		switch {
		case !waits:
		case leader != nil && slices.Contains(leader.m.Members().Voters, n.identity):
			if j.limit == catchUpTime {
				s.joinTimes = append(s.joinTimes, s.now.Sub(j.since))
			}
			delete(s.waiting, n)
		case s.now.Sub(j.since) > j.limit:
			s.fail("%s is not a voter after %s", n.id, j.limit)
		}
	}
}

// currentLeader returns the connected node that leads the latest term, or nil.
func (s *series) currentLeader() *node {
	var leader *node
	for _, n := range s.nodes {
		if !n.down && !n.isolated && n.m.Leads() && (leader == nil || n.view.Term > leader.view.Term) {
			leader = n
		}
	}
	return leader
}

// connectedReplicas returns the replicas that are up and not cut off.
func (s *series) connectedReplicas() []*node {
	return slices.DeleteFunc(s.upReplicas(), func(n *node) bool { return n.isolated })
}

// victim returns the leader, or a random replica.
func (s *series) victim() *node {
	up := s.connectedReplicas()
	if n := s.currentLeader(); n != nil && s.rng.IntN(2) == 0 {
		return n
	}
	return up[s.rng.IntN(len(up))]
}

// useSettings makes the settings that started nodes read name three random replicas that
// were up settingsAge ago.
func (s *series) useSettings() {
	past := s.live[max(0, len(s.live)-1-int(settingsAge/changeInterval))]
	past = slices.Clone(past)
	s.rng.Shuffle(len(past), func(i, j int) { past[i], past[j] = past[j], past[i] })
	for _, n := range s.nodes {
		n.namedInSettings = slices.Contains(past[:min(replicas, len(past))], n)
	}
}

func (s *series) logEvent(format string, args ...any) {
	s.events = append(s.events, s.now.Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

// startAndRun starts n and runs for catchUpTime.
func (s *series) startAndRun(n *node) {
	s.useSettings()
	n.start()
	s.logEvent("%s starts", n.id)
	s.waiting[n] = join{s.now, catchUpTime}
	s.run(catchUpTime)
}

// addSuccessor adds a replica with an empty disk.
func (s *series) addSuccessor() *node {
	n := s.addNode(false)
	n.replica = true
	return n
}

// replace ends a replica for good. Its successor starts after successorDelay.
func (s *series) replace() {
	n := s.victim()
	s.logEvent("%s is replaced", n.id)
	s.loseDisk(n)
	s.run(successorDelay)
	s.startAndRun(s.addSuccessor())
}

// wipe makes a replica lose its disk and restart at its address.
func (s *series) wipe() {
	n := s.victim()
	s.logEvent("%s loses its disk", n.id)
	s.loseDisk(n)
	s.run(successorDelay)
	s.startAndRun(n)
}

// stop stops a replica gracefully. Its successor starts afterwards.
func (s *series) stop() {
	n := s.victim()
	s.logEvent("%s stops", n.id)
	for _, phase := range []machine.StopPhase{machine.StopLeaving, machine.StopRefusing, machine.StopDone} {
		n.step(machine.Stop{Phase: phase})
		s.run(time.Duration(1+s.rng.IntN(10)) * 100 * time.Millisecond)
	}
	s.loseDisk(n)
	s.run(successorDelay)
	s.startAndRun(s.addSuccessor())
}

// cut isolates a replica for 3 to 12 s. With a newcomer, another one joins meanwhile.
func (s *series) cut(newcomer bool) {
	n := s.victim()
	s.logEvent("%s is cut off", n.id)
	n.isolated = true
	d := 3*time.Second + time.Duration(s.rng.IntN(10))*time.Second
	if newcomer {
		s.run(d / 4)
		s.startAndRun(s.addSuccessor())
		d -= d / 4
	}
	s.run(max(0, d-catchUpTime))
	n.isolated = false
	s.logEvent("%s is back", n.id)
	s.waiting[n] = join{s.now, catchUpTime}
	s.run(catchUpTime)
}

// killAll ends all nodes at once. They start again after killedTime and vote within limit.
func (s *series) killAll(limit time.Duration) {
	s.logEvent("all nodes are killed")
	s.useSettings()
	var up []*node
	for _, n := range s.nodes {
		if !n.down {
			up = append(up, n)
			n.crash()
		}
	}
	s.runFor(killedTime)
	for _, n := range up {
		if n.replica {
			s.waiting[n] = join{s.now, limit}
		}
		n.start()
	}
	s.ackedAt = s.now
	s.run(limit)
}

// loseDiskAndPower makes a replica lose its disk while all nodes lose power.
func (s *series) loseDiskAndPower() {
	lost := s.victim()
	s.logEvent("%s loses its disk", lost.id)
	s.loseDisk(lost)
	lost.down = false
	s.killAll(recoveryTime)
}

// runSeries draws a series of the given losses and checks the state at its end.
func runSeries(seed uint64, core int, losses ...func(*series)) *series {
	s := newSeries(seed, core)
	for range seriesLosses {
		if s.violation == "" {
			losses[s.rng.IntN(len(losses))](s)
		}
	}
	if s.violation == "" {
		s.loseDiskAndPower()
	}
	if s.violation == "" {
		s.checkFinalState()
	}
	return s
}

func TestSeriesOfLossesLeavesAllVotersWithinCatchUp(t *testing.T) {
	cut := func(s *series) { s.cut(false) }
	kill := func(s *series) { s.killAll(catchUpTime) }
	cutAndJoin := func(s *series) { s.cut(true) }
	for _, test := range []struct {
		name   string
		losses []func(*series)
	}{
		{"replaced", []func(*series){(*series).replace}},
		{"lost disks and replaced", []func(*series){(*series).replace, (*series).wipe}},
		{"stopped", []func(*series){(*series).stop}},
		{"cut off", []func(*series){cut}},
		{"cut off while others join", []func(*series){cutAndJoin}},
		{"all", []func(*series){(*series).replace, (*series).wipe, (*series).stop, cut, cutAndJoin, kill}},
	} {
		for _, core := range []int{3, 5, 7} {
			t.Run(fmt.Sprintf("%s of %d", test.name, core), func(t *testing.T) {
				t.Parallel()
				var times []time.Duration
				var gap time.Duration
				for seed := *seriesSeed; seed < *seriesSeed+uint64(*seriesRuns); seed++ {
					s := runSeries(seed, core, test.losses...)
					times = append(times, s.joinTimes...)
					gap = max(gap, s.maxGap)
					qt.Check(t, s.violation, qt.Equals, "", qt.Commentf("seed %d: %s", seed, strings.Join(s.events, "; ")))
				}
				slices.Sort(times)
				t.Logf("%d joins, median %s, 99%% %s, longest %s; longest time without an acknowledgement %s",
					len(times), times[len(times)/2], times[len(times)*99/100], times[len(times)-1], gap)
			})
		}
	}
}
