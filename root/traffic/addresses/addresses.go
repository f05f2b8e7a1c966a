// Package addresses chooses which entries a caller is told to use. It is pure:
// no I/O, no clock, no goroutine.
package addresses

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// maxAnswer bounds the number of addresses in an answer.
const maxAnswer = 3

// loadBound is the number of times the mean load above which an entry is given
// out last.
const loadBound = 1.25

// minBoundLoad is the number of requests below which an entry is never held to
// be overloaded.
const minBoundLoad = 8

// Choose returns a short ordered list of entries for a caller. The order is by
// rendezvous hashing, so that a caller keeps its entries; entries above the
// load bound come last; the list spreads over failure domains.
func Choose(vms []fleet.VM, caller string) []fleet.VM {
	ranked := rank(vms, caller)
	bound := loadLimit(ranked)
	slices.SortStableFunc(ranked, func(a, b fleet.VM) int {
		return cmp.Compare(overBound(a, bound), overBound(b, bound))
	})
	return spread(ranked)
}

func rank(vms []fleet.VM, caller string) []fleet.VM {
	var out []fleet.VM
	for _, vm := range vms {
		if vm.Address != "" && vm.State == fleet.Active {
			out = append(out, vm)
		}
	}
	slices.SortFunc(out, func(a, b fleet.VM) int {
		return cmp.Or(cmp.Compare(score(caller, b), score(caller, a)), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func score(caller string, vm fleet.VM) uint64 {
	return xxhash.Sum64String(caller + "\x00" + vm.ID)
}

func loadLimit(vms []fleet.VM) int {
	sum := 0
	for _, vm := range vms {
		sum += vm.InFlight
	}
	if len(vms) == 0 {
		return minBoundLoad
	}
	return max(minBoundLoad, int(loadBound*float64(sum)/float64(len(vms))))
}

func overBound(vm fleet.VM, bound int) int {
	if vm.InFlight > bound {
		return 1
	}
	return 0
}

// spread takes entries in order, first one per failure domain.
func spread(ranked []fleet.VM) []fleet.VM {
	var out, rest []fleet.VM
	seen := map[string]bool{}
	for _, vm := range ranked {
		if seen[vm.FailureDomain] {
			rest = append(rest, vm)
			continue
		}
		seen[vm.FailureDomain] = true
		out = append(out, vm)
	}
	out = append(out, rest...)
	return out[:min(len(out), maxAnswer)]
}
