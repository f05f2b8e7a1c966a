package consensus

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// memberSet is a member set and the index of the entry that put it into effect, or of
// the snapshot that contained it. The empty set of a replica that starts without a
// snapshot has index 0.
type memberSet struct {
	index   uint64
	members Members
}

// members returns the latest member set in the log, committed or not.
func (c *Core) members() Members { return c.memberSets[len(c.memberSets)-1].members }

// promotable reports whether this replica may become the leader: it is a voter in
// the committed member set or a later one. While its removal is not committed, it
// may be the only replica that can win an election and complete the change.
func (c *Core) promotable() bool {
	for i := len(c.memberSets) - 1; i >= 0; i-- {
		if c.memberSets[i].members.isVoter(c.cfg.ID) {
			return true
		}
		if c.memberSets[i].index <= c.commit {
			return false
		}
	}
	return false
}

// membersAt returns the member set in effect at index.
func (c *Core) membersAt(index uint64) Members {
	for i := len(c.memberSets) - 1; i > 0; i-- {
		if c.memberSets[i].index <= index {
			return c.memberSets[i].members
		}
	}
	return c.memberSets[0].members
}

// dropMemberSetsBelow removes the member sets older than the one in effect at index.
func (c *Core) dropMemberSetsBelow(index uint64) {
	for len(c.memberSets) > 1 && c.memberSets[1].index <= index {
		c.memberSets = c.memberSets[1:]
	}
}

func (m Members) isVoter(id ReplicaID) bool   { return slices.Contains(m.Voters, id) }
func (m Members) isLearner(id ReplicaID) bool { return slices.Contains(m.Learners, id) }

// sorted returns a copy with sorted IDs.
func (m Members) sorted() Members {
	out := Members{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
	slices.Sort(out.Voters)
	slices.Sort(out.Learners)
	return out
}

func (m Members) validate() error {
	all := slices.Concat(m.Voters, m.Learners)
	slices.Sort(all)
	switch {
	case len(m.Voters) == 0:
		return fault.New(fault.Invalid, part, "member set has no voters")
	case slices.Contains(all, ""):
		return fault.New(fault.Invalid, part, "member without an id")
	case len(slices.Compact(slices.Clone(all))) != len(all):
		return fault.New(fault.Invalid, part, "duplicate member id")
	}
	return nil
}

// ChangeMembers proposes a new member set. It may add or remove one voter and change
// any number of learners. A new voter must be a learner that CanPromote accepts. A voter
// is removed only while a quorum of the others follows this leader, since the removal
// takes effect before it is committed. Error kinds: NotLeader; NotReady before the leader
// has committed an entry in its term or during a leadership transfer; Conflict while an
// earlier change is uncommitted, if the new voter does not qualify or if too few voters
// would remain; Invalid for an invalid member set or a change of more than one voter.
func (c *Core) ChangeMembers(now time.Time, m Members) error {
	c.advanceClock(now)
	if c.role != leader {
		return fault.New(fault.NotLeader, part, "replica %s is not the leader", c.cfg.ID)
	}
	if !c.committedInTerm() || c.leaderState.transfer.to != "" {
		return fault.New(fault.NotReady, part, "leader has not committed an entry in its term or is transferring leadership")
	}
	if c.memberSets[len(c.memberSets)-1].index > c.commit {
		return fault.New(fault.Conflict, part, "an earlier membership change is not committed")
	}
	if err := m.validate(); err != nil {
		return err
	}
	m = m.sorted()
	if err := c.validateChange(m); err != nil {
		return err
	}
	c.propose(Entry{Kind: EntryMembers, Members: m})
	c.syncPeers()
	return nil
}

func (c *Core) validateChange(m Members) error {
	old := c.members()
	added := difference(m.Voters, old.Voters)
	removed := difference(old.Voters, m.Voters)
	if len(added)+len(removed) > 1 {
		return fault.New(fault.Invalid, part, "membership change affects more than one voter")
	}
	if len(removed) == 1 && !c.followedByQuorum(m.Voters) {
		return fault.New(fault.Conflict, part, "cannot remove %s: too few of the other voters are reachable", removed[0])
	}
	if len(added) == 1 && !c.CanPromote(added[0]) {
		return fault.New(fault.Conflict, part, "cannot promote %s: not a learner, unreachable or lagging", added[0])
	}
	return nil
}

// CanPromote reports whether this replica leads and the member is a learner that
// acknowledged it within the last election timeout and lags at most maxPromotionLag
// entries behind the commit index.
func (c *Core) CanPromote(id ReplicaID) bool {
	if !c.FollowedBy(id) || !c.members().isLearner(id) {
		return false
	}
	return c.leaderState.peers[id].match+maxPromotionLag >= c.commit
}

// FollowedBy reports whether this replica leads and the member is this replica or
// acknowledged it within the last election timeout.
func (c *Core) FollowedBy(id ReplicaID) bool {
	if c.role != leader {
		return false
	}
	p := c.leaderState.peers[id]
	return id == c.cfg.ID || p != nil && p.ackedSince(c.now-c.cfg.ElectionTimeout)
}

// followedByQuorum reports whether a quorum of the voters follows this leader.
func (c *Core) followedByQuorum(voters []ReplicaID) bool {
	followers := 0
	for _, id := range voters {
		if c.FollowedBy(id) {
			followers++
		}
	}
	return followers >= c.rules.quorum(len(voters))
}

// difference returns the elements of a that are not in b.
func difference(a, b []ReplicaID) []ReplicaID {
	var out []ReplicaID
	for _, id := range a {
		if !slices.Contains(b, id) {
			out = append(out, id)
		}
	}
	return out
}
