package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
)

func always(string) bool { return true }

func anySet([]quarantine.Segment) bool { return true }

// want is a probe request.
func want(id uint64, segments ...quarantine.Segment) quarantine.ProbeRequest {
	return quarantine.ProbeRequest{ID: id, Segments: segments}
}

// list reports all probes of a VM at the given time, which is also the time since its start.
func list(p *quarantine.Probes, vm string, seconds float64, requests ...quarantine.ProbeRequest) []quarantine.Grant {
	return p.List(vm, 1, time.Duration(seconds*float64(time.Second)), requests, at(seconds))
}

// search returns the granted probes as VM and id.
func search(p *quarantine.Probes, seconds float64) []string {
	p.Retry()
	var out []string
	for _, g := range p.Search(at(seconds), always, anySet) {
		out = append(out, fmt.Sprint(g.VM, "/", g.ID))
	}
	return out
}

// TestOneProbeContainsASuspect grants probes of several VMs: those with the fewest suspects
// first, then the oldest.
func TestOneProbeContainsASuspect(t *testing.T) {
	c := qt.New(t)
	p := quarantine.NewProbes()
	list(p, "a", 0, want(1, deadly, shared), want(2, third))
	list(p, "b", 0.1, want(1, shared), want(2, shared))
	list(p, "c", 0.2, want(1, shared))
	c.Assert(search(p, 0.3), qt.DeepEquals, []string{"a/2", "b/1"})
	c.Assert(p.Granted("b", at(0.3)), qt.DeepEquals, []uint64{1})
	c.Assert(search(p, 0.4), qt.HasLen, 0)

	// The probe at b has ended: the list no longer has it.
	ended := list(p, "b", 0.5, want(2, shared))
	c.Assert(ended, qt.DeepEquals, []quarantine.Grant{{VM: "b", ID: 1, Segments: []quarantine.Segment{shared}}})
	c.Assert(search(p, 0.6), qt.DeepEquals, []string{"b/2"})
	list(p, "b", 0.7)
	c.Assert(search(p, 0.8), qt.DeepEquals, []string{"c/1"})
	list(p, "c", 0.9)
	c.Assert(search(p, 1), qt.DeepEquals, []string{"a/1"})
}

// TestLostGrantBlocksNobodyForLong never ends a probe, as when its entry is frozen.
func TestLostGrantBlocksNobodyForLong(t *testing.T) {
	c := qt.New(t)
	p := quarantine.NewProbes()
	list(p, "a", 0, want(1, deadly))
	c.Assert(search(p, 0), qt.DeepEquals, []string{"a/1"})
	list(p, "b", 1, want(1, deadly))
	c.Assert(search(p, 2.9), qt.HasLen, 0)
	// The grant is repeated as long as it holds.
	c.Assert(p.Granted("a", at(2.9)), qt.DeepEquals, []uint64{1})
	c.Assert(search(p, 3), qt.DeepEquals, []string{"b/1"})
	c.Assert(p.Granted("a", at(3)), qt.HasLen, 0)

	// Without a lease it ends at once.
	list(p, "c", 3.1, want(1, deadly))
	p.Retry()
	grants := p.Search(at(3.2), func(vm string) bool { return vm != "b" }, anySet)
	c.Assert(grants, qt.DeepEquals, []quarantine.Grant{{VM: "c", ID: 1, Segments: []quarantine.Segment{deadly}}})
	p.Forget("c")
	c.Assert(p.Granted("c", at(3.3)), qt.HasLen, 0)
	list(p, "d", 3.3, want(1, deadly))
	c.Assert(search(p, 3.4), qt.DeepEquals, []string{"d/1"})
}

// TestNewLeaderKnowsRunningProbes lists a probe that an earlier leader has granted.
func TestNewLeaderKnowsRunningProbes(t *testing.T) {
	c := qt.New(t)
	p := quarantine.NewProbes()
	list(p, "a", 10, want(1, deadly))
	running := want(7, deadly)
	running.GrantedAt = at(9)
	list(p, "b", 10, running)
	c.Assert(search(p, 10), qt.HasLen, 0)
	c.Assert(p.Granted("b", at(10)), qt.DeepEquals, []uint64{7})
	c.Assert(p.GrantedAt("b", []quarantine.Segment{deadly}), qt.Equals, at(9))
	c.Assert(search(p, 12), qt.DeepEquals, []string{"a/1"})
}

// TestLateListIsIgnored delivers an older list after a newer one, and one of an earlier
// process of the VM.
func TestLateListIsIgnored(t *testing.T) {
	c := qt.New(t)
	p := quarantine.NewProbes()
	list(p, "a", 2, want(2, deadly))
	c.Assert(search(p, 2), qt.DeepEquals, []string{"a/2"})
	list(p, "a", 1, want(1, shared))
	c.Assert(p.Granted("a", at(2.1)), qt.DeepEquals, []uint64{2})
	p.List("a", 5, 0, []quarantine.ProbeRequest{want(9, deadly)}, at(2.2))
	list(p, "a", 3, want(2, deadly))
	c.Assert(search(p, 2.3), qt.DeepEquals, []string{"a/9"})
}

// TestSearchesAreLimited guards against a leader that spends its time on searches: many VMs
// report changed lists at once.
func TestSearchesAreLimited(t *testing.T) {
	c := qt.New(t)
	p := quarantine.NewProbes()
	c.Assert(p.NextSearch().IsZero(), qt.IsTrue)
	for n := range quarantine.MaxProbes + 10 {
		list(p, "a", 0, want(uint64(n), deadly, quarantine.Segment(100+n)))
	}
	c.Assert(search(p, 0), qt.HasLen, 1)
	c.Assert(p.NextSearch().IsZero(), qt.IsTrue)
	list(p, "b", 0, want(1, shared))
	next := p.NextSearch()
	c.Assert(next.After(at(0)), qt.IsTrue)
	c.Assert(p.Search(at(0), always, anySet), qt.HasLen, 0)
	c.Assert(p.Search(next, always, anySet), qt.HasLen, 1)

	var requests []quarantine.ProbeRequest
	for n := range 2 * quarantine.MaxProbes {
		requests = append(requests, want(uint64(n), quarantine.Segment(1000+n)))
	}
	list(p, "c", 1, requests...)
	c.Assert(search(p, 1), qt.HasLen, quarantine.MaxProbes)
}

// TestOnlyAllowedProbesAreGranted withholds a set that has just failed.
func TestOnlyAllowedProbesAreGranted(t *testing.T) {
	c := qt.New(t)
	p := quarantine.NewProbes()
	list(p, "a", 0, want(1, deadly), want(2, shared))
	grants := p.Search(at(0), always, func(s []quarantine.Segment) bool { return s[0] != deadly })
	c.Assert(grants, qt.DeepEquals, []quarantine.Grant{{VM: "a", ID: 2, Segments: []quarantine.Segment{shared}}})
	c.Assert(search(p, 1), qt.DeepEquals, []string{"a/1"})
}

// BenchmarkSearch has 291 VMs want as many probes as they may, each with its own suspects.
func BenchmarkSearch(b *testing.B) {
	p := quarantine.NewProbes()
	for vm := range 291 {
		var requests []quarantine.ProbeRequest
		for n := range quarantine.MaxProbes {
			requests = append(requests, want(uint64(n), deadly, quarantine.Segment(100+vm), quarantine.Segment(1000+n)))
		}
		list(p, fmt.Sprint(vm), 0, requests...)
	}
	for i := range b.N {
		p.Retry()
		p.Search(at(float64(i)), always, func([]quarantine.Segment) bool { return false })
	}
}

// TestNoSuspectIsProbedTwice lists, ends and loses probes at random. Two probes that may run at
// the same time must have no suspect in common.
func TestNoSuspectIsProbedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := quarantine.NewProbes()
		seconds, id := 0.0, uint64(0)
		lists := map[string][]quarantine.ProbeRequest{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			seconds += rapid.Float64Range(0, 1).Draw(t, "pause")
			vm := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "vm")
			if n := len(lists[vm]); n > 0 && rapid.Bool().Draw(t, "end") {
				lists[vm] = lists[vm][1:]
			} else {
				id++
				segments := rapid.SliceOfN(rapid.Uint64Range(1, 5), 1, 3).Draw(t, "segments")
				r := want(id)
				for _, s := range segments {
					r.Segments = append(r.Segments, quarantine.Segment(s))
				}
				lists[vm] = append(lists[vm], r)
			}
			list(p, vm, seconds, lists[vm]...)
			search(p, seconds)
			probed := map[quarantine.Segment]uint64{}
			for name, requests := range lists {
				granted := p.Granted(name, at(seconds))
				for _, r := range requests {
					for _, s := range r.Segments {
						if other := probed[s]; slices.Contains(granted, r.ID) && other != 0 && other != r.ID {
							t.Fatalf("probes %d and %d may both run with suspect %s", other, r.ID, s)
						}
						if slices.Contains(granted, r.ID) {
							probed[s] = r.ID
						}
					}
				}
			}
		}
	})
}
