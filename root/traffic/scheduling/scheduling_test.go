package scheduling_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/scheduling"
)

var epoch = time.Unix(1_700_000_000, 0)

func engine(i int) fleet.Server {
	return fleet.Server{
		ID: fmt.Sprintf("engine-%d", i), FailureDomain: fmt.Sprintf("fd-%d", i%2), Incarnation: 1,
		Targets: []string{"small"}, Slots: 16, CacheTokens: 1 << 18,
	}
}

func engines(n int) []fleet.Server {
	out := make([]fleet.Server, n)
	for i := range out {
		out[i] = engine(i)
	}
	return out
}

func TestUnsuitableServersAreNotPicked(t *testing.T) {
	cases := map[string]func(s *fleet.Server, req *scheduling.Request){
		"other target": func(s *fleet.Server, _ *scheduling.Request) { s.Targets = []string{"large"} },
		"draining":     func(s *fleet.Server, _ *scheduling.Request) { s.State = fleet.Draining },
		"suspected":    func(s *fleet.Server, _ *scheduling.Request) { s.State = fleet.Suspected },
		"prefill role": func(s *fleet.Server, _ *scheduling.Request) { s.Role = fleet.Prefill },
		"decode role": func(s *fleet.Server, req *scheduling.Request) {
			s.Role = fleet.Decode
			req.Stage = scheduling.Prefill
		},
		"excluded": func(s *fleet.Server, req *scheduling.Request) { req.Exclude = []string{s.ID} },
	}
	for name, makeUnsuitable := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			servers, req := engines(2), scheduling.Request{Target: "small", OutputTokens: 10}
			makeUnsuitable(&servers[0], &req)
			s := scheduling.New(1, 1)
			s.SetServers(servers)
			for range 20 {
				got, ok := s.Pick(epoch, &req)
				c.Assert(ok, qt.IsTrue)
				c.Assert(got.ID, qt.Equals, "engine-1")
			}
		})
	}
}

// TestSharesAddUpToTheSlots checks that entries that use up their shares without
// any load report fill every server exactly.
func TestSharesAddUpToTheSlots(t *testing.T) {
	for _, entries := range []int{1, 3, 5, 8} {
		c := qt.New(t)
		taken := map[string]int{}
		for rank := range entries {
			s := scheduling.New(entries, 7)
			s.SetServers(engines(6))
			s.SetEntries(rank, entries)
			req := scheduling.Request{Target: "small", OutputTokens: 10}
			for {
				server, ok := s.Pick(epoch, &req)
				if !ok {
					break
				}
				s.Begin(epoch, req, server.ID)
				taken[server.ID]++
			}
		}
		c.Assert(taken, qt.HasLen, 6)
		for id, n := range taken {
			c.Check(n, qt.Equals, 16, qt.Commentf("%s with %d entries", id, entries))
		}
	}
}

// serve runs one request of ten output tokens and returns the id of its server, or
// "" if none has a free slot. interToken gives the time between tokens by server id.
func serve(s *scheduling.Scheduler, now time.Time, interToken func(id string) time.Duration) string {
	req := scheduling.Request{Class: "question", Target: "small", PromptTokens: 100, OutputTokens: 10}
	server, ok := s.Pick(now, &req)
	if !ok {
		return ""
	}
	run := s.Begin(now, req, server.ID)
	for i := range 10 {
		run.ObserveTokens(now.Add(time.Duration(i+1)*interToken(server.ID)), 1)
	}
	run.End(now.Add(10*interToken(server.ID)), true)
	return server.ID
}

// TestASlowServerIsProbedUntilItRecovers checks that a server that becomes slow gets
// probes only, and its share of the requests again once it has recovered.
func TestASlowServerIsProbedUntilItRecovers(t *testing.T) {
	c := qt.New(t)
	s := scheduling.New(1, 1)
	s.SetServers(engines(4))
	slowdown := 1
	interToken := func(id string) time.Duration {
		if id == "engine-0" {
			return time.Duration(slowdown) * 20 * time.Millisecond
		}
		return 20 * time.Millisecond
	}
	requestsToEngine0 := func(from time.Time, n int) int {
		count := 0
		for i := range n {
			if serve(s, from.Add(time.Duration(i)*time.Second), interToken) == "engine-0" {
				count++
			}
		}
		return count
	}
	beforeSlowdown := requestsToEngine0(epoch, 400)
	c.Assert(beforeSlowdown > 50, qt.IsTrue, qt.Commentf("%d of 400", beforeSlowdown))
	slowdown = 5
	slow := requestsToEngine0(epoch.Add(time.Hour), 400)
	c.Assert(slow >= 1 && slow <= 6, qt.IsTrue, qt.Commentf("%d of 400", slow))
	slowdown = 1
	requestsToEngine0(epoch.Add(2*time.Hour), 800)
	recovered := requestsToEngine0(epoch.Add(3*time.Hour), 400)
	c.Assert(recovered > 50, qt.IsTrue, qt.Commentf("%d of 400", recovered))
}

func TestAPromptReturnsToTheServerThatCachesIt(t *testing.T) {
	c := qt.New(t)
	s := scheduling.New(1, 1)
	s.SetServers(engines(8))
	req := scheduling.Request{Target: "small", PromptTokens: 8000, OutputTokens: 20, Prefix: []uint64{1, 2, 3, 4}}
	first, _ := s.Pick(epoch, &req)
	s.Begin(epoch, req, first.ID).End(epoch, true)
	for range 20 {
		again, ok := s.Pick(epoch, &req)
		c.Assert(ok, qt.IsTrue)
		c.Assert(again.ID, qt.Equals, first.ID)
	}
}

func TestLengthEstimatesDependOnTheCaller(t *testing.T) {
	c := qt.New(t)
	l := scheduling.NewLengthEstimator()
	for range 50 {
		l.Observe("question", "short-caller", 40)
		l.Observe("question", "long-caller", 400)
	}
	c.Check(l.Estimate("question", "short-caller", 0).Mean, qt.Equals, 40.0)
	c.Check(l.Estimate("question", "long-caller", 0).Mean, qt.Equals, 400.0)
	c.Check(l.Estimate("question", "long-caller", 100).High, qt.Equals, 100.0)
	other := l.Estimate("question", "new", 0).Mean
	c.Check(other > 40 && other < 400, qt.IsTrue)
}

func ExampleScheduler() {
	s := scheduling.New(1, 1)
	s.SetServers([]fleet.Server{
		{ID: "engine-0", Targets: []string{"small"}, Slots: 1},
		{ID: "engine-1", Targets: []string{"small"}, Slots: 1, State: fleet.Draining},
	})
	now := time.Unix(0, 0)
	req := scheduling.Request{Target: "small", PromptTokens: 100, OutputTokens: 50}
	server, ok := s.Pick(now, &req)
	fmt.Println(server.ID, ok)
	run := s.Begin(now, req, server.ID)
	_, ok = s.Pick(now, &req)
	fmt.Println(ok)
	run.End(now, true)
	_, ok = s.Pick(now, &req)
	fmt.Println(ok)
	// Output:
	// engine-0 true
	// false
	// true
}

// TestEveryEntryGetsASlotWhenSlotsAreFew checks that every entry gets a slot if
// there are fewer slots than entries, with and without load reports.
func TestEveryEntryGetsASlotWhenSlotsAreFew(t *testing.T) {
	c := qt.New(t)
	servers := engines(3)
	for _, reported := range []bool{false, true} {
		for rank := range 8 {
			s := scheduling.New(8, 1)
			s.SetEntries(rank, 8)
			for i := range servers {
				servers[i].Kind, servers[i].Slots = fleet.PlainServer, 2
				if reported {
					servers[i].Load = fleet.Load{Running: 1, AnnouncedAt: epoch}
				}
			}
			s.SetServers(servers)
			_, ok := s.Pick(epoch.Add(time.Second), &scheduling.Request{Target: "small", OutputTokens: 10})
			c.Check(ok, qt.IsTrue, qt.Commentf("rank %d, reported %v", rank, reported))
		}
	}
}

// TestSlowServersServeWhenNoOthersMay checks that a slow server takes a long request
// that excludes the only other server.
func TestSlowServersServeWhenNoOthersMay(t *testing.T) {
	c := qt.New(t)
	s := scheduling.New(1, 1)
	s.SetServers(engines(2))
	interToken := func(id string) time.Duration {
		if id == "engine-0" {
			return 200 * time.Millisecond
		}
		return 20 * time.Millisecond
	}
	now := epoch
	for range 100 {
		serve(s, now, interToken)
		now = now.Add(time.Second)
	}
	req := scheduling.Request{Target: "small", OutputTokens: 1000, Long: true, Exclude: []string{"engine-1"}}
	got, ok := s.Pick(now, &req)
	c.Assert(ok, qt.IsTrue)
	c.Check(got.ID, qt.Equals, "engine-0")
}
