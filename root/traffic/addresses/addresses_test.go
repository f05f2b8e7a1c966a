package addresses_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/addresses"
)

func entries(n, domains int) []fleet.VM {
	var out []fleet.VM
	for i := range n {
		out = append(out, fleet.VM{
			ID: fmt.Sprintf("vm-%d", i), Address: fmt.Sprintf("http://10.0.0.%d", i),
			FailureDomain: fmt.Sprintf("fd-%d", i%domains),
		})
	}
	return out
}

func ids(vms []fleet.VM) []string {
	var out []string
	for _, vm := range vms {
		out = append(out, vm.ID)
	}
	return out
}

func TestChooseReturnsActiveEntriesOverDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := entries(rapid.IntRange(0, 9).Draw(t, "vms"), rapid.IntRange(1, 4).Draw(t, "domains"))
		domains := map[string]bool{}
		active := 0
		for i := range vms {
			vms[i].State = fleet.State(rapid.IntRange(0, 2).Draw(t, "state"))
			vms[i].InFlight = rapid.IntRange(0, 40).Draw(t, "in flight")
			if vms[i].State == fleet.Active {
				active++
				domains[vms[i].FailureDomain] = true
			}
		}
		got := addresses.Choose(vms, rapid.String().Draw(t, "caller"))
		if len(got) != min(active, 3) {
			t.Fatalf("got %d entries of %d active ones", len(got), active)
		}
		seen := map[string]bool{}
		for _, vm := range got {
			seen[vm.FailureDomain] = true
			if vm.State != fleet.Active {
				t.Fatalf("%s is not active", vm.ID)
			}
		}
		if len(seen) != min(len(domains), len(got)) {
			t.Fatalf("got %d of %d failure domains in %d entries", len(seen), len(domains), len(got))
		}
	})
}

// TestChooseIsStableWhenEntryLeaves checks the first entry of each caller, and that
// callers are spread evenly over the first entries.
func TestChooseIsStableWhenEntryLeaves(t *testing.T) {
	c := qt.New(t)
	vms := entries(8, 4)
	first := map[string]int{}
	for i := range 4000 {
		caller := fmt.Sprintf("caller-%d", i)
		before := ids(addresses.Choose(vms, caller))
		first[before[0]]++
		remaining := slices.DeleteFunc(slices.Clone(vms), func(vm fleet.VM) bool { return vm.ID == "vm-3" })
		after := ids(addresses.Choose(remaining, caller))
		if before[0] != "vm-3" {
			c.Assert(after[0], qt.Equals, before[0])
		}
	}
	for _, vm := range vms {
		c.Check(first[vm.ID] > 400 && first[vm.ID] < 600, qt.IsTrue, qt.Commentf("%s is the first entry of %d callers", vm.ID, first[vm.ID]))
	}
}

// TestChooseAvoidsOverloadedEntry has two entries in each failure domain: an
// overloaded entry that is alone in its domain is not avoided.
func TestChooseAvoidsOverloadedEntry(t *testing.T) {
	c := qt.New(t)
	vms := entries(8, 4)
	for i := range vms {
		vms[i].InFlight = 10
	}
	vms[3].InFlight = 100
	for i := range 1000 {
		got := ids(addresses.Choose(vms, fmt.Sprintf("caller-%d", i)))
		c.Assert(slices.Contains(got, "vm-3"), qt.IsFalse)
	}
}
