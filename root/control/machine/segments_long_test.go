package machine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCrashingSegmentForHalfAnHour sends requests with a crashing segment at all entries for
// 30 minutes, while leaders are lost and entries are frozen. It guards against a segment that
// costs several engines again each time its quarantine ends.
func TestCrashingSegmentForHalfAnHour(t *testing.T) {
	const (
		length = 30 * time.Minute
		// learned is the number of crashes after which, and learnTime how long after them,
		// few requests may reach engines. Crashes after firstWave are not those that teach.
		learned, learnTime = 5, 3 * time.Second
		firstWave          = time.Minute
		maxLate            = 3
	)
	c := qt.New(t)
	for seed := uint64(1); seed <= 3; seed++ {
		comment := qt.Commentf("seed %d", seed)
		p := newProbing(seed)
		sim := p.sim
		// Messages carry ages, so that times in them do not drift. The simulated network
		// passes on times, which would differ by seconds after some minutes.
		for _, n := range sim.nodes {
			n.clockRate = 1
		}
		sim.waitForLeader()
		p.run(time.Second)
		p.sendsAll = true
		began := sim.now
		for sim.now.Sub(began) < length {
			p.run(time.Duration(20+sim.rng.IntN(80)) * time.Second)
			victim := sim.nodes[sim.rng.IntN(replicas)]
			victim.crash()
			frozen := sim.nodes[replicas+sim.rng.IntN(entryOnlyNodes)]
			frozen.pausedUntil = sim.now.Add(time.Duration(sim.rng.IntN(5000)) * time.Millisecond)
			p.run(2 * time.Second)
			victim.start()
			c.Assert(sim.everywhere(isFree(soundSegment)) || sim.everywhere(isSuspect(soundSegment)), qt.IsTrue, comment)
		}
		var after []time.Duration
		taught := 0
		for _, at := range p.crashes {
			after = append(after, at.Sub(began).Round(time.Millisecond))
			if at.Sub(began) < firstWave {
				taught++
			}
		}
		t.Logf("seed %d: engines lost after %v", seed, after)
		c.Assert(taught > 0, qt.IsTrue, comment)
		bound := p.crashes[min(taught, learned)-1].Add(learnTime)
		late := 0
		for _, at := range p.crashes {
			if at.After(bound) {
				late++
			}
		}
		c.Assert(late <= maxLate, qt.IsTrue, qt.Commentf("seed %d: %d requests reached engines after the bound", seed, late))
		c.Assert(sim.violation, qt.Equals, "", comment)
	}
}
