package addresses

import (
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

const (
	// maxNear bounds the answer to a caller that chooses at random.
	maxNear = 64
	// minNear is the number of entries of the caller's failure domain below which
	// those of other domains are given out too: one may be lost.
	minNear = 2
)

// Near returns the entries for a caller that picks one of them at random: those
// of its failure domain when there are enough, and otherwise all.
func Near(vms []fleet.VM, domain string) []fleet.VM {
	var all, near []fleet.VM
	for _, vm := range vms {
		if vm.Address == "" || vm.State != fleet.Active {
			continue
		}
		all = append(all, vm)
		if vm.FailureDomain == domain {
			near = append(near, vm)
		}
	}
	if len(near) >= minNear {
		all = near
	}
	return all[:min(len(all), maxNear)]
}
