package consensus

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// config is a set of members in effect from its index on.
type config struct {
	index   uint64
	members Members
}

// members returns the latest set in the log, committed or not.
func (c *Core) members() Members { return c.configs[len(c.configs)-1].members }

// mayLead reports whether this replica is a voter in the committed set or a
// later one. While its removal is not committed, it may be the only replica
// that can win an election and finish the change.
func (c *Core) mayLead() bool {
	for i := len(c.configs) - 1; i >= 0; i-- {
		if c.configs[i].members.isVoter(c.cfg.ID) {
			return true
		}
		if c.configs[i].index <= c.commit {
			return false
		}
	}
	return false
}

func (c *Core) configAt(index uint64) Members {
	for i := len(c.configs) - 1; i > 0; i-- {
		if c.configs[i].index <= index {
			return c.configs[i].members
		}
	}
	return c.configs[0].members
}

// dropConfigsBelow keeps the set in effect at index and later ones.
func (c *Core) dropConfigsBelow(index uint64) {
	for len(c.configs) > 1 && c.configs[1].index <= index {
		c.configs = c.configs[1:]
	}
}

func (m Members) isVoter(id NodeID) bool   { return slices.Contains(m.Voters, id) }
func (m Members) isLearner(id NodeID) bool { return slices.Contains(m.Learners, id) }

// normal returns a sorted copy.
func (m Members) normal() Members {
	out := Members{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
	slices.Sort(out.Voters)
	slices.Sort(out.Learners)
	return out
}

func (m Members) check() error {
	all := slices.Concat(m.Voters, m.Learners)
	slices.Sort(all)
	switch {
	case len(m.Voters) == 0:
		return fault.New(fault.Invalid, part, "no voters")
	case slices.Contains(all, ""):
		return fault.New(fault.Invalid, part, "a member has no id")
	case len(slices.Compact(slices.Clone(all))) != len(all):
		return fault.New(fault.Invalid, part, "a member is named twice")
	}
	return nil
}

// ChangeMembers proposes a new set: one voter added or removed, or any change
// of learners. A new voter must be a learner that acknowledged the leader
// within an election timeout and is at most 64 entries behind the commit index.
// Kinds: NotLeader, NotReady before the leader has committed in its term or
// while leadership moves, Conflict while a change is uncommitted or a learner
// is behind, Invalid.
func (c *Core) ChangeMembers(now time.Time, m Members) error {
	c.advance(now)
	if c.role != leader {
		return fault.New(fault.NotLeader, part, "replica %s is not the leader", c.cfg.ID)
	}
	if !c.settled() || c.lead.transfer.to != "" {
		return fault.New(fault.NotReady, part, "the leader is not settled")
	}
	if c.configs[len(c.configs)-1].index > c.commit {
		return fault.New(fault.Conflict, part, "a change of members is not committed yet")
	}
	if err := m.check(); err != nil {
		return err
	}
	m = m.normal()
	if err := c.checkChange(m); err != nil {
		return err
	}
	c.propose(Entry{Kind: EntryMembers, Members: m})
	c.syncPeers()
	return nil
}

func (c *Core) checkChange(m Members) error {
	old := c.members()
	added := without(m.Voters, old.Voters)
	removed := without(old.Voters, m.Voters)
	if len(added)+len(removed) > 1 {
		return fault.New(fault.Invalid, part, "more than one voter changes")
	}
	if len(added) == 0 {
		return nil
	}
	id := added[0]
	p := c.lead.peers[id]
	if !old.isLearner(id) || p == nil {
		return fault.New(fault.Conflict, part, "%s is not a learner", id)
	}
	if p.match+maxPromotionLag < c.commit || !p.ackedSince(c.now-c.cfg.ElectionTimeout) {
		return fault.New(fault.Conflict, part, "learner %s has entries up to %d of %d", id, p.match, c.commit)
	}
	return nil
}

// without returns the elements of a that are not in b.
func without(a, b []NodeID) []NodeID {
	var out []NodeID
	for _, id := range a {
		if !slices.Contains(b, id) {
			out = append(out, id)
		}
	}
	return out
}
