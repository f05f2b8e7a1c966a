package replicated_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// mutantSeeds limits the scripts tried per mutant.
const mutantSeeds = 3000

// Each mutant disables one mechanism. violation is part of the message of the
// invariant that must detect it.
var mutants = []struct {
	name, violation string
	newMutant       func() mutant
}{
	{"base version not compared", "two changes were accepted", func() mutant {
		return onCommand(func(sim *simulation, c replicated.ChangeTable) replicated.Command {
			c.Base = sim.state.Table().Version
			return c
		})
	}},
	{"change ids not remembered", "was answered", func() mutant {
		return onCommand(func(sim *simulation, c replicated.ChangeTable) replicated.Command {
			c.ID = fmt.Sprint(c.ID, sim.index)
			return c
		})
	}},
	{"replica restores a stale snapshot", "the table went back", staleSnapshot},
	{"key not looked up", "so may another attempt", func() mutant { return mapKeys(keyPerAttempt) }},
	{"creation time of the key not checked", "so may another attempt", func() mutant { return mapKeys(keyWithoutTime) }},
	{"work of a dead process treated as not run", "so may another attempt", func() mutant {
		return onCommand(cancelInsteadOfAbandon)
	}},
	{"responses of different keys mixed up", "was answered", mixedUpResponses},
	{"cancelled attempts not remembered", "reported not to run", oneClosedAttempt},
	{"rejected attempts not remembered", "started after it was rejected", oneClosedAttempt},
	{"engine without fencing treated as checking", "still can", func() mutant {
		return onCommand(func(sim *simulation, c replicated.AcquireAuthority) replicated.Command {
			sim.inject(replicated.SetFencing{Server: ignoring, Checks: true})
			return c
		})
	}},
	{"engine does not check fencing tokens", "took effect", func() mutant { return mutant{engineSkipsCheck: true} }},
	{"order settled while its holder may still send it", "took effect", func() mutant { return mutant{settlesWhileSending: true} }},
	{"order recorded while the last one is unsettled", "is unsettled", func() mutant {
		return onCommand(func(sim *simulation, c replicated.RecordOrder) replicated.Command {
			server, _ := sim.state.Authority().Server(c.Server)
			settle := authority.SettleOrder{Server: c.Server, Holder: c.Holder, Fence: server.Order.Fence, Outcome: authority.Failed}
			sim.inject(replicated.SettleOrder{SettleOrder: settle})
			return c
		})
	}},
	{"repeated order not recognized", "one order got", func() mutant {
		return onCommand(func(sim *simulation, c replicated.RecordOrder) replicated.Command {
			server, _ := sim.state.Authority().Server(c.Server)
			c.After = server.Fence
			return c
		})
	}},
	{"fencing tokens reused", "got token", func() mutant {
		return onSnapshot(func(s *replicated.Snapshot) {
			for i := range s.Authority.Servers {
				s.Authority.Servers[i].Fence = s.Authority.Servers[i].Order.Fence
			}
		})
	}},
	{"snapshot without closed attempts", "a restored replica", func() mutant {
		return mutant{snapshot: func(_ *simulation, s replicated.Snapshot) replicated.Snapshot {
			s.Ledger.Closed = nil
			return s
		}}
	}},
}

func TestMutantsAreCaught(t *testing.T) {
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			seed, violation := findViolation(m.violation, m.newMutant)
			qt.Assert(t, violation, qt.Contains, m.violation)
			qt.Assert(t, run(scriptOf(seed), mutant{}), qt.Equals, "", qt.Commentf("the script must pass without the mutant"))
			t.Logf("detected with seed %d: %s", seed, violation)
		})
	}
}

// findViolation returns the first seed whose script breaks the invariant, and the
// message of the violation. It returns 0 and an empty string if there is none.
func findViolation(want string, newMutant func() mutant) (int, string) {
	for seed := 1; seed <= mutantSeeds; seed++ {
		v := run(scriptOf(seed), newMutant())
		if strings.Contains(v, want) {
			return seed, v
		}
	}
	return 0, ""
}

// scriptOf returns the script generated from a seed.
func scriptOf(seed int) script {
	r := rand.New(rand.NewPCG(uint64(seed), 0))
	sc := script{area: r.IntN(len(areas)), steps: make([]step, maxSteps)}
	for i := range sc.steps {
		sc.steps[i] = step{op: r.IntN(argRange), a: r.IntN(argRange), b: r.IntN(argRange), c: r.IntN(argRange)}
	}
	return sc
}

// onCommand returns a mutant that changes the commands of one type.
func onCommand[C replicated.Command](change func(*simulation, C) replicated.Command) mutant {
	return mutant{command: func(sim *simulation, c replicated.Command) replicated.Command {
		if typed, ok := c.(C); ok {
			return change(sim, typed)
		}
		return c
	}}
}

// onSnapshot returns a mutant that changes the snapshots that replicas restore,
// the reference included.
func onSnapshot(change func(*replicated.Snapshot)) mutant {
	return mutant{snapshot: func(sim *simulation, s replicated.Snapshot) replicated.Snapshot {
		change(&s)
		sim.reference, _ = replicated.Restore(s)
		return s
	}}
}

// oneClosedAttempt returns a mutant whose ledger keeps only the last closed attempt.
func oneClosedAttempt() mutant {
	ledgerLimits := limits
	ledgerLimits.MaxClosed = 1
	return mutant{limits: &ledgerLimits}
}

func staleSnapshot() mutant {
	var first *replicated.Snapshot
	return onSnapshot(func(s *replicated.Snapshot) {
		if first == nil {
			kept := *s
			first = &kept
		}
		index := s.Index
		*s = *first
		s.Index = index
	})
}

func mapKeys(change func(k ledger.Key, attempt string) ledger.Key) mutant {
	return mutant{command: func(_ *simulation, c replicated.Command) replicated.Command {
		switch c := c.(type) {
		case replicated.BeginWork:
			c.Key = change(c.Key, c.Attempt)
			return c
		case replicated.FinishWork:
			c.Key = change(c.Key, c.Attempt)
			return c
		case replicated.CancelWork:
			c.Key = change(c.Key, c.Attempt)
			return c
		}
		return c
	}}
}

func keyPerAttempt(k ledger.Key, attempt string) ledger.Key {
	k.ID = attempt
	return k
}

// keyWithoutTime turns a UUIDv7 into a UUIDv4, which has no creation time that the
// ledger could check.
func keyWithoutTime(k ledger.Key, _ string) ledger.Key {
	k.ID = strings.Replace(k.ID, "-7000-", "-4000-", 1)
	return k
}

func cancelInsteadOfAbandon(sim *simulation, c replicated.AbandonWork) replicated.Command {
	for _, a := range sim.work.attempts {
		if a.vm == c.Entry && a.incarnation <= c.Incarnation {
			sim.inject(replicated.CancelWork{Cancel: ledger.Cancel{Key: a.key, Attempt: a.id}})
		}
	}
	return c
}

func mixedUpResponses() mutant {
	var last []byte
	return mutant{result: func(_ *simulation, c replicated.Command, r replicated.Result) replicated.Result {
		switch c.(type) {
		case replicated.FinishWork:
			if kindOf(r) == ledger.Recorded {
				last = r.Work.Response.Body
			}
		case replicated.BeginWork:
			if kindOf(r) == ledger.Recorded {
				work := *r.Work
				work.Response.Body = last
				r.Work = &work
			}
		}
		return r
	}}
}
