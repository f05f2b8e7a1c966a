// Package addresses chooses the entries whose addresses a caller gets. An entry is
// the part of a daemon that accepts callers' requests. The package is pure: it does
// no I/O, reads no clock and starts no goroutine.
package addresses

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// maxAddresses bounds the number of entries that Choose returns.
const maxAddresses = 3

// maxRelativeLoad is the load, relative to the mean, above which an entry counts as
// overloaded.
const maxRelativeLoad = 1.25

// minLoadLimit is the number of requests in flight up to which an entry never counts
// as overloaded.
const minLoadLimit = 8

// Choose returns up to maxAddresses active entries for a caller, in the order in
// which it should try them. Rendezvous hashing ranks them, so that few callers change
// entries when one joins or leaves, and overloaded entries rank after all others. The
// best ranked entry of each failure domain comes before the rest, even if it is
// overloaded, so that the addresses are in as many domains as possible.
func Choose(vms []fleet.VM, caller string) []fleet.VM {
	ranked := rankByHash(vms, caller)
	limit := loadLimit(ranked)
	slices.SortStableFunc(ranked, func(a, b fleet.VM) int {
		return cmp.Compare(overloadRank(a, limit), overloadRank(b, limit))
	})
	return spreadDomains(ranked)
}

// rankByHash returns the active entries in order of their hash scores for the caller.
func rankByHash(vms []fleet.VM, caller string) []fleet.VM {
	var out []fleet.VM
	for _, vm := range vms {
		if vm.Address != "" && vm.State == fleet.Active {
			out = append(out, vm)
		}
	}
	slices.SortFunc(out, func(a, b fleet.VM) int {
		return cmp.Or(cmp.Compare(hashScore(caller, b), hashScore(caller, a)), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func hashScore(caller string, vm fleet.VM) uint64 {
	return xxhash.Sum64String(caller + "\x00" + vm.ID)
}

// loadLimit returns the number of requests in flight above which an entry counts as
// overloaded.
func loadLimit(vms []fleet.VM) int {
	sum := 0
	for _, vm := range vms {
		sum += vm.InFlight
	}
	if len(vms) == 0 {
		return minLoadLimit
	}
	return max(minLoadLimit, int(maxRelativeLoad*float64(sum)/float64(len(vms))))
}

// overloadRank returns 1 for an overloaded entry and 0 for others.
func overloadRank(vm fleet.VM, limit int) int {
	if vm.InFlight > limit {
		return 1
	}
	return 0
}

// spreadDomains returns the first maxAddresses entries after moving the best ranked
// entry of each failure domain to the front.
func spreadDomains(ranked []fleet.VM) []fleet.VM {
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
	return out[:min(len(out), maxAddresses)]
}
