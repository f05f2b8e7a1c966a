package machine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

const (
	limitedEntries = 60
	limitedServer  = "i-1"
)

// newLimitSimulation returns a simulation of a fleet whose entries report a demand for one
// server with a limit, and the function that reports it. demand gives the rate of the i-th
// entry.
func newLimitSimulation(limit float64, demand func(i int) float64) (sim *simulation, entries []*node, report func()) {
	sim = newSimulation(1, machine.RuleNone)
	for range limitedEntries {
		n := sim.addNode(false)
		n.start()
		entries = append(entries, n)
	}
	sim.waitForLeader()
	sim.runFor(3 * time.Second)
	return sim, entries, func() {
		for i, n := range entries {
			n.step(machine.TrafficReport{ServerDemands: []fleet.ServerDemand{{
				Server: limitedServer, Incarnation: 1, LimitPerSecond: limit, Age: time.Second, RatePerSecond: demand(i),
			}}})
		}
	}
}

// sharesOf returns the sum of the entries' shares of the limit and the number of entries
// that have one.
func sharesOf(entries []*node) (sum float64, holders int) {
	for _, n := range entries {
		for _, share := range n.serverShares {
			sum += share.Fraction
			if share.Fraction > 0 {
				holders++
			}
		}
	}
	return sum, holders
}

// TestSmallLimitIsSharedByFewEntries guards against a limit of a few requests a second that
// is divided so finely among hundreds of entries that nobody can use it.
func TestSmallLimitIsSharedByFewEntries(t *testing.T) {
	c := qt.New(t)
	sim, entries, report := newLimitSimulation(1.2, func(int) float64 { return 2 })
	report()
	sim.runFor(2 * time.Second)
	sum, holders := sharesOf(entries)
	c.Check(sum > 0.99 && sum < 1.01, qt.IsTrue, qt.Commentf("%g", sum))
	c.Check(holders, qt.Equals, 2)
}

// TestLimitGoesWhereTheDemandIs guards against shares that entries without callers hold and
// don't use.
func TestLimitGoesWhereTheDemandIs(t *testing.T) {
	c := qt.New(t)
	busy := 0
	sim, entries, report := newLimitSimulation(20, func(i int) float64 {
		if i == busy {
			return 50
		}
		return 0.1
	})
	for busy = range 3 {
		report()
		sim.runFor(2 * time.Second)
		sum, _ := sharesOf(entries)
		c.Check(sum > 0.99 && sum < 1.01, qt.IsTrue, qt.Commentf("%g", sum))
		own, _ := sharesOf(entries[busy : busy+1])
		c.Check(own > 0.9, qt.IsTrue, qt.Commentf("%g", own))
	}
}

// TestLiftedLimitReachesEntriesThatHearNothing lets one entry learn that a server names no
// limit any more. The others have no share of it, so they send nothing and hear nothing.
func TestLiftedLimitReachesEntriesThatHearNothing(t *testing.T) {
	c := qt.New(t)
	sim, entries, report := newLimitSimulation(1.2, func(int) float64 { return 2 })
	report()
	sim.runFor(2 * time.Second)
	entries[7].step(machine.TrafficReport{ServerDemands: []fleet.ServerDemand{{Server: limitedServer, Incarnation: 1}}})
	sim.runFor(2 * time.Second)
	for _, n := range entries {
		c.Assert(n.serverShares, qt.HasLen, 1)
		c.Check(n.serverShares[0].LimitPerSecond, qt.Equals, 0.0)
	}
	// A later incarnation starts without a limit, and one of before says nothing about it.
	entries[3].step(machine.TrafficReport{ServerDemands: []fleet.ServerDemand{{Server: limitedServer, Incarnation: 2, LimitPerSecond: 3}}})
	sim.runFor(2 * time.Second)
	c.Check(entries[9].serverShares[0].Incarnation, qt.Equals, uint64(2))
	c.Check(entries[9].serverShares[0].LimitPerSecond, qt.Equals, 3.0)
}
