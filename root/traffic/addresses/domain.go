package addresses

import (
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

const (
	// maxCandidates bounds the number of entries that PreferDomain returns.
	maxCandidates = 64
	// minDomainEntries is the number of entries in the caller's failure domain below
	// which entries of other domains are returned too. With two, the caller still
	// reaches one if the other fails.
	minDomainEntries = 2
)

// PreferDomain returns active entries for a caller that picks one of them at random:
// those in its failure domain if there are at least minDomainEntries, and otherwise
// those of all domains. It returns at most maxCandidates, the first in the order of vms.
func PreferDomain(vms []fleet.VM, domain string) []fleet.VM {
	var all, inDomain []fleet.VM
	for _, vm := range vms {
		if vm.Address == "" || vm.State != fleet.Active {
			continue
		}
		all = append(all, vm)
		if vm.FailureDomain == domain {
			inDomain = append(inDomain, vm)
		}
	}
	if len(inDomain) >= minDomainEntries {
		all = inDomain
	}
	return all[:min(len(all), maxCandidates)]
}
