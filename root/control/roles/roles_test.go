package roles_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/roles"
)

var (
	capacity = roles.Capacity{Prefill: 8000, Decode: 1000, MixedFraction: 0.8}
	config   = roles.Config{
		Horizon: 2 * time.Minute, ChangeTime: 5 * time.Second, DrainTimePerRequest: time.Second, MinTimeInRole: time.Minute,
		MinGainRatio: 1.5, Utilization: 0.8, MaxConcurrentChanges: 2,
	}
)

func engines(rs ...fleet.Role) []roles.Engine {
	var out []roles.Engine
	for i, r := range rs {
		out = append(out, roles.Engine{ID: fmt.Sprintf("e%d", i), Role: r, TimeInRole: time.Hour, Capacity: capacity})
	}
	return out
}

func TestPlan(t *testing.T) {
	const p, d, m = fleet.Prefill, fleet.Decode, fleet.Mixed
	decodeHeavy := roles.Demand{Prefill: 4000, Decode: 2400}
	for _, test := range []struct {
		name   string
		demand roles.Demand
		in     []roles.Engine
		modify func([]roles.Engine, *roles.Config)
		want   int
	}{
		{name: "shift to decode", demand: decodeHeavy, in: engines(p, p, p, d), want: 2},
		{name: "demand is served", demand: roles.Demand{Prefill: 4000, Decode: 400}, in: engines(p, p, p, d)},
		{name: "no demand", in: engines(p, p, p, d)},
		{name: "last prefill engine stays", demand: decodeHeavy, in: engines(p, d)},
		{name: "last mixed engine stays", demand: decodeHeavy, in: engines(m)},
		{name: "below the minimum time in role", demand: decodeHeavy, in: engines(p, p, p, d), modify: func(es []roles.Engine, _ *roles.Config) {
			for i := range es {
				es[i].TimeInRole = time.Second
			}
		}},
		{name: "one change in progress already", demand: decodeHeavy, in: engines(p, p, p, d, d), want: 1, modify: func(es []roles.Engine, _ *roles.Config) {
			es[4].Changing = true
		}},
		{name: "horizon too short to gain enough", demand: decodeHeavy, in: engines(p, p, p, d), modify: func(_ []roles.Engine, cfg *roles.Config) {
			cfg.Horizon = 8 * time.Second
		}},
		{name: "too many requests in flight", demand: decodeHeavy, in: engines(p, p, d), modify: func(es []roles.Engine, _ *roles.Config) {
			es[0].Requests, es[1].Requests = 200, 200
		}},
		{name: "invalid configuration", demand: decodeHeavy, in: engines(p, p, p, d), modify: func(_ []roles.Engine, cfg *roles.Config) {
			cfg.MinGainRatio = 1
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			cfg := config
			if test.modify != nil {
				test.modify(test.in, &cfg)
			}
			got := roles.Plan(test.demand, test.in, cfg)
			c.Assert(got, qt.HasLen, test.want, qt.Commentf("%v", got))
			for _, change := range got {
				c.Check(change.From, qt.Equals, p)
				c.Check(change.To, qt.Not(qt.Equals), p)
			}
		})
	}
}

// TestPlanConvergesWithinLimits applies plans repeatedly under a constant demand.
// An engine may change at most once, or roles would oscillate.
func TestPlanConvergesWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rs := rapid.SliceOfN(rapid.SampledFrom([]fleet.Role{fleet.Mixed, fleet.Prefill, fleet.Decode}), 1, 20).Draw(t, "roles")
		demand := roles.Demand{
			Prefill: rapid.Float64Range(0, 100_000).Draw(t, "prefill"),
			Decode:  rapid.Float64Range(0, 15_000).Draw(t, "decode"),
		}
		es := engines(rs...)
		changed := map[string]bool{}
		initialPrefill, initialDecode := countByStage(es)
		for range 2 * len(es) {
			plan := roles.Plan(demand, es, config)
			if len(plan) > config.MaxConcurrentChanges {
				t.Fatalf("%d changes at once", len(plan))
			}
			for _, change := range plan {
				if changed[change.Engine] {
					t.Fatalf("%s changed twice under one demand", change.Engine)
				}
				changed[change.Engine] = true
				if change.Reason.GainTokens <= change.Reason.LossTokens {
					t.Fatalf("%s: %v", change.Engine, change.Reason)
				}
				es = applyChange(es, change)
			}
			prefill, decode := countByStage(es)
			if prefill == 0 && initialPrefill > 0 && demand.Prefill > 0 || decode == 0 && initialDecode > 0 && demand.Decode > 0 {
				t.Fatalf("the last engine of a stage changed: %v", plan)
			}
		}
	})
}

func applyChange(es []roles.Engine, change roles.Change) []roles.Engine {
	for i := range es {
		if es[i].ID == change.Engine {
			es[i].Role = change.To
		}
	}
	return es
}

// countByStage counts the engines that serve each stage.
func countByStage(es []roles.Engine) (prefill, decode int) {
	for _, e := range es {
		if e.Role != fleet.Decode {
			prefill++
		}
		if e.Role != fleet.Prefill {
			decode++
		}
	}
	return prefill, decode
}

func TestBudgetLimitsRate(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	b, err := roles.NewBudget(100, 200, now)
	c.Assert(err, qt.IsNil)
	c.Assert(b.Take(now, 150), qt.Equals, time.Duration(0))
	wait := b.Take(now, 100)
	c.Assert(wait.Round(time.Millisecond), qt.Equals, 500*time.Millisecond)
	c.Assert(b.Take(now.Add(wait), 100), qt.Equals, time.Duration(0))
	now = now.Add(time.Hour)
	c.Assert(b.Take(now, 500), qt.Equals, time.Duration(0), qt.Commentf("a full bucket allows any load"))
	c.Assert(b.Take(now, 1).Round(time.Millisecond), qt.Equals, 3010*time.Millisecond)
}
