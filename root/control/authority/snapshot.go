package authority

import (
	"cmp"
	"maps"
	"slices"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Snapshot is a point-in-time copy of the state. It must not be modified.
type Snapshot struct {
	// Servers is sorted by id.
	Servers []Server
	// Dead maps a VM to its newest incarnation that was confirmed dead.
	Dead          map[string]uint64
	Confirmations []Confirmation
	// Proposals is in the order in which they were recorded.
	Proposals []ProposedOrder
}

// Snapshot returns a copy of the current state. Later operations don't affect
// it.
func (l *Locks) Snapshot() Snapshot {
	servers := make([]Server, 0, len(l.servers))
	for _, s := range l.servers {
		servers = append(servers, *s)
	}
	slices.SortFunc(servers, func(x, y Server) int { return cmp.Compare(x.ID, y.ID) })
	return Snapshot{
		Servers:       servers,
		Dead:          maps.Clone(l.dead),
		Confirmations: slices.Clone(l.confirmations),
		Proposals:     l.proposals,
	}
}

// Restore rebuilds the state from a snapshot. The error is of kind
// fault.Corrupt.
func Restore(snap Snapshot) (*Locks, error) {
	if len(snap.Servers) > MaxServers || len(snap.Dead) > MaxVMs || len(snap.Confirmations) > MaxConfirmations ||
		len(snap.Proposals) > MaxProposals {
		return nil, fault.New(fault.Corrupt, part, "the snapshot exceeds the limits on servers, dead VMs, confirmations or proposals")
	}
	l := New()
	maps.Copy(l.dead, snap.Dead)
	l.confirmations = append(l.confirmations, snap.Confirmations...)
	for _, s := range snap.Servers {
		if err := s.check(); err != nil {
			return nil, err
		}
		if l.servers[s.ID] != nil {
			return nil, fault.New(fault.Corrupt, part, "duplicate server in the snapshot")
		}
		l.servers[s.ID] = &s
	}
	for _, o := range snap.Proposals {
		if err := o.check(); err != nil {
			return nil, err
		}
		l.proposals = append(l.proposals, o)
	}
	return l, nil
}

func (s Server) check() error {
	switch {
	case checkServerID(s.ID) != nil:
		return fault.New(fault.Corrupt, part, "a server in the snapshot has an invalid id")
	case len(s.FormerHolders) > MaxFormerHolders:
		return fault.New(fault.Corrupt, part, "server %q has too many former holders", s.ID)
	case s.Order.State >= numOrderStates:
		return fault.New(fault.Corrupt, part, "server %q has an order in an unknown state", s.ID)
	case s.Order.Fence > s.Fence:
		return fault.New(fault.Corrupt, part, "server %q has an order with a fencing token above the last one issued", s.ID)
	}
	return nil
}
