package placement_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/placement"
)

var start = time.Unix(1000, 0)

func engine(id string, role fleet.Role) fleet.Server {
	return fleet.Server{ID: id, Incarnation: 1, Kind: fleet.Engine, Role: role, Targets: []string{"llm"}, Slots: 4, Address: "http://" + id}
}

func plain(id, domain string) fleet.Server {
	return fleet.Server{ID: id, Incarnation: 1, Kind: fleet.PlainServer, Targets: []string{"plain"}, Slots: 2, FailureDomain: domain}
}

func viewOf(entries int, servers ...fleet.Server) *view.View {
	v := &view.View{Term: 1, LeaseOptional: true, Servers: servers, Routes: &routes.Document{
		Version: 1, Services: []routes.Service{{Name: "llm", Engine: &routes.Engine{CacheTokens: 100_000}}, {Name: "plain"}},
	}}
	for i := range entries {
		v.VMs = append(v.VMs, fleet.VM{ID: fmt.Sprintf("vm-%d", i), Address: "http://vm"})
	}
	return v
}

func stateOf(self string, seed uint64, v *view.View) *placement.State {
	s := placement.NewState(self, "a", seed)
	s.SetView(v)
	return s
}

func prefillEngines(n int) []fleet.Server {
	var out []fleet.Server
	for i := range n {
		out = append(out, engine(fmt.Sprintf("prefill-%d", i), fleet.Prefill))
	}
	return out
}

func prompt(firstSegment uint64) placement.Request {
	return placement.Request{
		Service: "llm", Stage: placement.Prefill, PromptTokens: 5000,
		Segments: []placement.Segment{{Hash: firstSegment, Tokens: 4000}, {Hash: firstSegment<<32 | 1, Tokens: 1000}},
	}
}

func mustPlace(c *qt.C, s *placement.State, now time.Time, req placement.Request) *placement.Run {
	run, queued, err := s.Place(now, req)
	c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(queued, qt.IsNil)
	return run
}

// TestEntriesAgreeOnPrefillHomes checks that entries with different seeds send
// prompts with the same first segment to the same engine.
func TestEntriesAgreeOnPrefillHomes(t *testing.T) {
	c := qt.New(t)
	v := viewOf(2, prefillEngines(4)...)
	used := map[string]bool{}
	for firstSegment := range uint64(20) {
		one := mustPlace(c, stateOf("vm-0", 1, v), start, prompt(firstSegment+1))
		two := mustPlace(c, stateOf("vm-1", 99, v), start, prompt(firstSegment+1))
		c.Assert(one.Server().ID, qt.Equals, two.Server().ID)
		used[one.Server().ID] = true
	}
	c.Assert(len(used) > 1, qt.IsTrue)
}

// TestRestartedServerHasNoLoad restarts a server that runs a request. The new incarnation
// runs nothing, and the end of the old request must not change its load.
func TestRestartedServerHasNoLoad(t *testing.T) {
	c := qt.New(t)
	s := stateOf("vm-0", 1, viewOf(1, engine("engine-1", fleet.Decode)))
	req := placement.Request{Service: "llm", PromptTokens: 1000}
	run := mustPlace(c, s, start, req)
	c.Assert(s.OwnLoads(), qt.HasLen, 1)

	restarted := engine("engine-1", fleet.Decode)
	restarted.Incarnation = 2
	s.SetView(viewOf(1, restarted))
	c.Assert(s.OwnLoads(), qt.HasLen, 0)
	next := mustPlace(c, s, start, req)
	run.End(start, placement.Result{Outcome: placement.Lost})
	c.Assert(s.OwnLoads(), qt.DeepEquals, []fleet.OwnLoad{{Server: "engine-1", Running: 1, Tokens: 1000}})
	next.End(start, placement.Result{Outcome: placement.Answered})
	c.Assert(s.OwnLoads(), qt.HasLen, 0)
}

// TestANewEngineMovesFewPrefillHomes checks that a new engine becomes the prefill
// home of its share of the prompts and that all others keep theirs.
func TestANewEngineMovesFewPrefillHomes(t *testing.T) {
	c := qt.New(t)
	moved := 0
	for firstSegment := range uint64(200) {
		before := mustPlace(c, stateOf("vm-0", 1, viewOf(1, prefillEngines(4)...)), start, prompt(firstSegment+1)).Server().ID
		after := mustPlace(c, stateOf("vm-0", 1, viewOf(1, prefillEngines(5)...)), start, prompt(firstSegment+1)).Server().ID
		if before != after {
			c.Assert(after, qt.Equals, "prefill-4")
			moved++
		}
	}
	c.Assert(moved > 10 && moved < 80, qt.IsTrue, qt.Commentf("%d of 200 moved", moved))
}

// TestPromptsQueueForTheirPrefillHome checks that prompts queue once the entry's
// share of their prefill home is in use, and that the queue is served in order.
func TestPromptsQueueForTheirPrefillHome(t *testing.T) {
	c := qt.New(t)
	s := stateOf("vm-0", 1, viewOf(8, prefillEngines(1)...))
	first := mustPlace(c, s, start, prompt(1))
	_, second, err := s.Place(start, prompt(2))
	c.Assert(err == nil, qt.IsTrue)
	c.Assert(second, qt.IsNotNil)
	_, third, _ := s.Place(start, prompt(3))
	c.Assert(s.OwnLoads()[0].Running, qt.Equals, 1)
	first.End(start.Add(time.Second), placement.Result{Outcome: placement.Answered, TimeToFirstOutput: time.Second})
	c.Assert(s.OwnLoads()[0].Running, qt.Equals, 1)
	c.Assert(placement.Placed(second), qt.IsTrue)
	c.Assert(placement.Placed(third), qt.IsFalse)
}

// TestAQueuedPromptIsRefusedAfterItsTimeout checks that a queued prompt is refused
// if the engine becomes free only after the caller's timeout.
func TestAQueuedPromptIsRefusedAfterItsTimeout(t *testing.T) {
	c := qt.New(t)
	s := stateOf("vm-0", 1, viewOf(8, prefillEngines(1)...))
	first := mustPlace(c, s, start, prompt(1))
	req := prompt(2)
	req.FirstOutputTimeout = time.Second
	_, queued, _ := s.Place(start, req)
	first.End(start.Add(2*time.Second), placement.Result{Outcome: placement.Answered, TimeToFirstOutput: time.Second})
	c.Assert(fault.Is(placement.QueueError(queued), fault.Overloaded), qt.IsTrue)
	c.Assert(s.OwnLoads(), qt.HasLen, 0)
}

// TestASlowPrefillIsRefused checks that a prompt is refused immediately if its
// predicted prefill time exceeds the caller's timeout.
func TestASlowPrefillIsRefused(t *testing.T) {
	c := qt.New(t)
	s := stateOf("vm-0", 1, viewOf(1, prefillEngines(1)...))
	for range 20 {
		run := mustPlace(c, s, start, prompt(1))
		run.End(start, placement.Result{Outcome: placement.Answered, TimeToFirstOutput: 2 * time.Second})
	}
	req := prompt(1)
	req.FirstOutputTimeout = time.Second
	_, _, err := s.Place(start, req)
	c.Assert(fault.Is(err, fault.Overloaded), qt.IsTrue)
	c.Assert(err.Ran, qt.Equals, fault.RanNo)
	c.Assert(err.RetryAfter > 0, qt.IsTrue)
}

// TestAServerThatLosesARequestIsAvoided checks that a server that lost a request
// gets no other while it is in back-off, unless it is the only one.
func TestAServerThatLosesARequestIsAvoided(t *testing.T) {
	c := qt.New(t)
	s := stateOf("vm-0", 1, viewOf(1, plain("one", "b"), plain("two", "b")))
	run := mustPlace(c, s, start, placement.Request{Service: "plain"})
	avoided := run.Server().ID
	run.End(start, placement.Result{Outcome: placement.Lost})
	for range 3 {
		c.Assert(mustPlace(c, s, start, placement.Request{Service: "plain"}).Server().ID, qt.Not(qt.Equals), avoided)
	}
	alone := stateOf("vm-0", 1, viewOf(1, plain("one", "b")))
	run = mustPlace(c, alone, start, placement.Request{Service: "plain"})
	run.End(start, placement.Result{Outcome: placement.Lost})
	mustPlace(c, alone, start, placement.Request{Service: "plain"})
}

// TestARefusingServerIsAvoided checks that a server that refused a request as full
// gets no other for a moment. Its fast refusals would make it look idle otherwise.
func TestARefusingServerIsAvoided(t *testing.T) {
	c := qt.New(t)
	s := stateOf("vm-0", 1, viewOf(1, plain("one", "a"), plain("two", "b")))
	run := mustPlace(c, s, start, placement.Request{Service: "plain"})
	c.Assert(run.Server().ID, qt.Equals, "one")
	run.End(start, placement.Result{Outcome: placement.Refused})
	c.Assert(mustPlace(c, s, start, placement.Request{Service: "plain"}).Server().ID, qt.Equals, "two")
	afterBackoff := start.Add(time.Second)
	c.Assert(mustPlace(c, s, afterBackoff, placement.Request{Service: "plain"}).Server().ID, qt.Equals, "one")
}

func TestFailingServersGetFewerRequests(t *testing.T) {
	c := qt.New(t)
	s := stateOf("vm-0", 1, viewOf(1, plain("bad", "a"), plain("good-1", "a"), plain("good-2", "a")))
	counts := map[string]int{}
	now := start
	for range 300 {
		now = now.Add(50 * time.Millisecond)
		run := mustPlace(c, s, now, placement.Request{Service: "plain"})
		counts[run.Server().ID]++
		outcome := placement.Answered
		if run.Server().ID == "bad" {
			outcome = placement.Errored
		}
		run.End(now, placement.Result{Outcome: outcome, TimeToFirstOutput: 10 * time.Millisecond})
	}
	c.Assert(counts["bad"] < 30, qt.IsTrue, qt.Commentf("%v", counts))
}

// TestRequestsAreRefusedWithoutAFreeServer checks that a request is refused as
// Overloaded if its service's servers are full, and as NoBackend if there are none.
func TestRequestsAreRefusedWithoutAFreeServer(t *testing.T) {
	c := qt.New(t)
	s := stateOf("vm-0", 1, viewOf(1, plain("one", "a")))
	for range 6 {
		mustPlace(c, s, start, placement.Request{Service: "plain"})
	}
	_, _, err := s.Place(start, placement.Request{Service: "plain"})
	c.Assert(fault.Is(err, fault.Overloaded), qt.IsTrue)
	_, _, err = s.Place(start, placement.Request{Service: "none"})
	c.Assert(fault.Is(err, fault.NoBackend), qt.IsTrue)
}

func TestDrainingServersGetNoRequests(t *testing.T) {
	c := qt.New(t)
	draining := plain("one", "a")
	draining.State = fleet.Draining
	s := stateOf("vm-0", 1, viewOf(1, draining, plain("two", "b")))
	for range 4 {
		c.Assert(mustPlace(c, s, start, placement.Request{Service: "plain"}).Server().ID, qt.Equals, "two")
	}
}

// segmentOfDecodeHome returns a first segment whose decode home is the given engine.
func segmentOfDecodeHome(c *qt.C, v *view.View, id string) uint64 {
	for firstSegment := uint64(1); firstSegment < 100; firstSegment++ {
		if mustPlace(c, stateOf("vm-0", 1, v), start, decoding(firstSegment)).Server().ID == id {
			return firstSegment
		}
	}
	c.Fatalf("no first segment has decode home %s", id)
	return 0
}

// TestDecodeEnginesPrefillWhenThePrefillHomeIsSlow checks that a decode engine
// prefills a long prompt instead of a slow prefill home if it is assigned to the
// entry or is the prompt's decode home, and no other long prompt of the entry is
// being prefilled there.
func TestDecodeEnginesPrefillWhenThePrefillHomeIsSlow(t *testing.T) {
	c := qt.New(t)
	v := viewOf(2, append(prefillEngines(1), engine("decode-0", fleet.Decode), engine("decode-1", fleet.Decode))...)
	zero, one := stateOf("vm-0", 1, v), stateOf("vm-1", 1, v)
	segmentZero, segmentOne := segmentOfDecodeHome(c, v, "decode-0"), segmentOfDecodeHome(c, v, "decode-1")
	for _, s := range []*placement.State{zero, one} {
		c.Assert(s.PlanPrefill(start, prompt(segmentZero)).Disaggregated, qt.IsTrue)
		for range 20 {
			run, _, _ := s.Place(start, prompt(segmentZero))
			run.End(start, placement.Result{Outcome: placement.Answered, TimeToFirstOutput: 3 * time.Second})
		}
	}
	c.Assert(zero.PlanPrefill(start, prompt(segmentZero)), qt.Equals, placement.PrefillPlan{Server: "decode-0"})
	c.Assert(one.PlanPrefill(start, prompt(segmentOne)), qt.Equals, placement.PrefillPlan{Server: "decode-1"})
	req := prompt(segmentZero)
	req.Stage, req.RequiredServer = placement.Whole, "decode-0"
	run := mustPlace(c, zero, start, req)
	c.Assert(zero.PlanPrefill(start, prompt(segmentZero)), qt.Equals, placement.PrefillPlan{Disaggregated: true})
	c.Assert(zero.PlanPrefill(start, prompt(segmentOne)), qt.Equals, placement.PrefillPlan{Server: "decode-1"})
	run.MarkPrefilled()
	c.Assert(zero.PlanPrefill(start, prompt(segmentZero)), qt.Equals, placement.PrefillPlan{Server: "decode-0"})
}

// TestShortPromptsTakeTheFasterPath checks that the share of short prompts with
// disaggregated prefill grows when whole requests are slower, and that both paths
// stay in use.
func TestShortPromptsTakeTheFasterPath(t *testing.T) {
	c := qt.New(t)
	servers := append(prefillEngines(1), engine("decode-0", fleet.Decode))
	s := stateOf("vm-0", 1, viewOf(1, servers...))
	disaggregated := func(n int) int {
		count := 0
		for range n {
			if s.PlanPrefill(start, short(placement.Whole)).Disaggregated {
				count++
			}
		}
		return count
	}
	c.Assert(disaggregated(400) < 60, qt.IsTrue)
	for range 100 {
		complete(c, s, short(placement.Prefill), 50*time.Millisecond)
		complete(c, s, short(placement.Decode), 50*time.Millisecond)
		complete(c, s, short(placement.Whole), 800*time.Millisecond)
	}
	slowWhole := disaggregated(400)
	c.Assert(slowWhole > 300 && slowWhole < 400, qt.IsTrue, qt.Commentf("%d of 400", slowWhole))
}

func short(stage placement.Stage) placement.Request {
	return placement.Request{
		Service: "llm", Stage: stage, PromptTokens: 300, Objective: 500 * time.Millisecond, Arrived: start,
		Segments: []placement.Segment{{Hash: 7, Tokens: 100}, {Hash: 8, Tokens: 200}},
	}
}

func complete(c *qt.C, s *placement.State, req placement.Request, elapsed time.Duration) {
	mustPlace(c, s, start, req).End(start.Add(elapsed), placement.Result{Outcome: placement.Answered, TimeToFirstOutput: elapsed})
}
