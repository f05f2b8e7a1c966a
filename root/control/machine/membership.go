package machine

import (
	"slices"

	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
)

// reconcileMembership proposes the next change towards a membership in which vm votes
// as id. A replica that is new, or that returned under a new identity, is added as a
// learner and promoted to voter once it has caught up; its old identity is removed
// before the promotion. With two voters, the old identity stays a voter next to the
// new one, also after more voters have joined. In an open membership, a silent voter is
// removed before the promotion as well.
func (l *leader) reconcileMembership(vm string, id consensus.ReplicaID) {
	if id == "" || !l.admits(vm) {
		return
	}
	st := l.r.core.Status()
	if slices.Contains(st.Members.Voters, id) {
		return
	}
	l.changeMembers(st, vm, id)
}

// admits reports whether a replica on the VM may become a member.
func (l *leader) admits(vm string) bool {
	return l.m.cfg.OpenMembership || slices.Contains(l.m.cfg.Replicas, vm)
}

// promoteLearners takes the next step towards a vote of a learner that has caught up,
// without another Renew of its VM: until it votes, the next loss may cost the quorum.
func (l *leader) promoteLearners() {
	st := l.r.core.Status()
	for _, id := range st.Members.Learners {
		vm := VMOf(id)
		if l.admits(vm) && l.r.core.CanPromote(id) && !l.isUnresponsive(id) && l.changeMembers(st, vm, id) {
			return
		}
	}
}

// changeMembers proposes the next change towards a membership in which vm votes as id, and
// reports whether it did.
func (l *leader) changeMembers(st consensus.Status, vm string, id consensus.ReplicaID) bool {
	next := nextMembers(st.Members, vm, id)
	if silent, ok := l.silentVoter(st); ok && len(next.Voters) > len(st.Members.Voters) {
		if next, ok = l.withoutSilentVoter(st, silent, id); !ok {
			return false
		}
	}
	// A refused change, for example while another one is not committed, is retried at the
	// next Renew or sweep.
	return l.r.core.ChangeMembers(l.m.now, next) == nil
}

// silentVoter returns the voter that has not followed this leader for the longest time, if
// any voter of an open membership does not follow it now.
func (l *leader) silentVoter(st consensus.Status) (consensus.ReplicaID, bool) {
	silent := slices.DeleteFunc(slices.Clone(st.Members.Voters), l.r.core.FollowedBy)
	if len(silent) == 0 || !l.m.cfg.OpenMembership {
		return "", false
	}
	return slices.MinFunc(silent, func(a, b consensus.ReplicaID) int { return st.Acked[a].Compare(st.Acked[b]) }), true
}

// withoutSilentVoter returns the members without a voter that has been silent for
// ReplicaReplaceAfter, if the learner can take its place. Promoting the learner next to it
// would let a voter that may never return count towards a larger quorum, which a few such
// promotions make unreachable.
func (l *leader) withoutSilentVoter(st consensus.Status, silent, learner consensus.ReplicaID) (consensus.Members, bool) {
	if l.m.now.Sub(st.Acked[silent]) < l.m.cfg.Timing.ReplicaReplaceAfter || !l.r.core.CanPromote(learner) {
		return consensus.Members{}, false
	}
	voters := slices.DeleteFunc(slices.Clone(st.Members.Voters), func(id consensus.ReplicaID) bool { return id == silent })
	return consensus.Members{Voters: voters, Learners: st.Members.Learners}, true
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
	return l.m.now.Sub(l.renewedAt(h)) >= l.m.cfg.Timing.ReplicaRemoveAfter
}

// nextMembers returns the next single-step change towards a membership in which vm
// votes as id, which it does not yet.
func nextMembers(cur consensus.Members, vm string, id consensus.ReplicaID) consensus.Members {
	next := consensus.Members{
		Voters:   slices.Clone(cur.Voters),
		Learners: slices.Clone(cur.Learners),
	}
	otherIdentity := func(n consensus.ReplicaID) bool { return VMOf(n) == vm && n != id }
	stale := slices.IndexFunc(next.Learners, otherIdentity)
	if stale >= 0 {
		next.Learners = slices.Delete(next.Learners, stale, stale+1)
		return next
	}
	if !slices.Contains(next.Learners, id) {
		next.Learners = append(next.Learners, id)
		return next
	}
	old := slices.IndexFunc(next.Voters, otherIdentity)
	// Of two voters none is removed, since a single voter would remain. The new
	// identity is promoted next to the old one instead.
	if old >= 0 && len(next.Voters) > 2 {
		next.Voters = slices.Delete(next.Voters, old, old+1)
		return next
	}
	next.Learners = slices.DeleteFunc(next.Learners, func(n consensus.ReplicaID) bool { return n == id })
	next.Voters = append(next.Voters, id)
	return next
}
