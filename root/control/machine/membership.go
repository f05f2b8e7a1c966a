package machine

import (
	"slices"

	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
)

// reconcileMembership proposes the next change towards a membership in which vm votes
// as id. A replica that is new, or that returned under a new identity, is added as a
// learner and promoted to voter once it has caught up; its old identity is removed
// before the promotion. With two voters, the old identity stays a voter next to the
// new one, also after more voters have joined.
func (l *leader) reconcileMembership(vm string, id consensus.ReplicaID) {
	if id == "" || !l.m.cfg.OpenMembership && !slices.Contains(l.m.cfg.Replicas, vm) {
		return
	}
	st := l.r.core.Status()
	if slices.Contains(st.Members.Voters, id) {
		return
	}
	next, ok := nextMembers(st.Members, vm, id)
	if !ok {
		return
	}
	// A refused change, for example of a learner that lags, is retried at the next
	// Renew.
	_ = l.r.core.ChangeMembers(l.m.now, next)
}

// minVoters is the smallest number of voters that the removal of unresponsive
// replicas may leave: three voters tolerate one failure.
const minVoters = 3

// removeUnresponsiveReplica removes one replica that has been silent for
// ReplicaRemoveAfter from an open membership, so that permanently lost replicas don't
// count towards the quorum. A removed replica that returns is added again.
func (l *leader) removeUnresponsiveReplica() {
	if !l.m.cfg.OpenMembership || l.m.now.Sub(l.establishedAt) < l.m.cfg.Timing.ReplicaRemoveAfter {
		return
	}
	cur := l.r.core.Status().Members
	next := consensus.Members{Voters: slices.Clone(cur.Voters), Learners: slices.Clone(cur.Learners)}
	if i := slices.IndexFunc(next.Learners, l.isUnresponsive); i >= 0 {
		next.Learners = slices.Delete(next.Learners, i, i+1)
	} else if i := slices.IndexFunc(next.Voters, l.isUnresponsive); i >= 0 && (len(next.Voters) > minVoters || !l.m.enforces(ruleMinVoters)) {
		next.Voters = slices.Delete(next.Voters, i, i+1)
	} else {
		return
	}
	// A refused change is retried at the next sweep.
	_ = l.r.core.ChangeMembers(l.m.now, next)
}

// isUnresponsive reports whether the replica's VM has not renewed for
// ReplicaRemoveAfter, or is no longer a lease holder, as after a graceful stop.
func (l *leader) isUnresponsive(id consensus.ReplicaID) bool {
	h := l.holders[VMOf(id)]
	if h == nil {
		return VMOf(id) != l.m.cfg.Self.ID
	}
	lastRenew := h.expiresAt.Add(-l.m.cfg.Timing.ViewLease)
	return l.m.now.Sub(lastRenew) >= l.m.cfg.Timing.ReplicaRemoveAfter
}

// nextMembers returns the next single-step change towards a membership in which vm
// votes as id, which it does not yet. The second result is always true, because there
// is always such a change.
func nextMembers(cur consensus.Members, vm string, id consensus.ReplicaID) (consensus.Members, bool) {
	next := consensus.Members{
		Voters:   slices.Clone(cur.Voters),
		Learners: slices.Clone(cur.Learners),
	}
	otherIdentity := func(n consensus.ReplicaID) bool { return VMOf(n) == vm && n != id }
	stale := slices.IndexFunc(next.Learners, otherIdentity)
	if stale >= 0 {
		next.Learners = slices.Delete(next.Learners, stale, stale+1)
		return next, true
	}
	if !slices.Contains(next.Learners, id) {
		next.Learners = append(next.Learners, id)
		return next, true
	}
	old := slices.IndexFunc(next.Voters, otherIdentity)
	// Of two voters none is removed, since a single voter would remain. The new
	// identity is promoted next to the old one instead.
	if old >= 0 && len(next.Voters) > 2 {
		next.Voters = slices.Delete(next.Voters, old, old+1)
		return next, true
	}
	next.Learners = slices.DeleteFunc(next.Learners, func(n consensus.ReplicaID) bool { return n == id })
	next.Voters = append(next.Voters, id)
	return next, true
}
