package machine

import (
	"slices"

	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
)

// repairMembers brings a replica that returned without its disk back as a
// learner, takes out its old identity, and promotes it once it has caught up.
func (l *leader) repairMembers(vm string, id consensus.NodeID) {
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
	// A change refused now, such as a learner that lags, is tried at the next Renew.
	_ = l.r.core.ChangeMembers(l.m.now, next)
}

// minVoters is the number of voters below which silence removes none: one of
// three may be lost.
const minVoters = 3

// dropSilentMember takes one replica out of an open membership that has been
// silent for long, so that replicas gone for good don't weigh on the quorum.
// One that returns joins again.
func (l *leader) dropSilentMember() {
	if !l.m.cfg.OpenMembership || l.m.now.Sub(l.since) < l.m.cfg.Timing.ReplicaRemoveAfter {
		return
	}
	cur := l.r.core.Status().Members
	next := consensus.Members{Voters: slices.Clone(cur.Voters), Learners: slices.Clone(cur.Learners)}
	if i := slices.IndexFunc(next.Learners, l.isSilent); i >= 0 {
		next.Learners = slices.Delete(next.Learners, i, i+1)
	} else if i := slices.IndexFunc(next.Voters, l.isSilent); i >= 0 && (len(next.Voters) > minVoters || !l.m.keeps(ruleKeepVoters)) {
		next.Voters = slices.Delete(next.Voters, i, i+1)
	} else {
		return
	}
	// A change refused now is tried again at the next sweep.
	_ = l.r.core.ChangeMembers(l.m.now, next)
}

// isSilent reports whether no process of the replica's VM was heard for long.
func (l *leader) isSilent(id consensus.NodeID) bool {
	h := l.holders[VMOf(id)]
	if h == nil {
		return VMOf(id) != l.m.cfg.Self.ID
	}
	heard := h.until.Add(-l.m.cfg.Timing.ViewLease)
	return l.m.now.Sub(heard) >= l.m.cfg.Timing.ReplicaRemoveAfter
}

// nextMembers returns the next single change towards vm taking part as id.
func nextMembers(cur consensus.Members, vm string, id consensus.NodeID) (consensus.Members, bool) {
	next := consensus.Members{
		Voters:   slices.Clone(cur.Voters),
		Learners: slices.Clone(cur.Learners),
	}
	other := func(n consensus.NodeID) bool { return VMOf(n) == vm && n != id }
	stale := slices.IndexFunc(next.Learners, other)
	if stale >= 0 {
		next.Learners = slices.Delete(next.Learners, stale, stale+1)
		return next, true
	}
	if !slices.Contains(next.Learners, id) {
		next.Learners = append(next.Learners, id)
		return next, true
	}
	old := slices.IndexFunc(next.Voters, other)
	if old >= 0 && len(next.Voters) > 2 {
		next.Voters = slices.Delete(next.Voters, old, old+1)
		return next, true
	}
	next.Learners = slices.DeleteFunc(next.Learners, func(n consensus.NodeID) bool { return n == id })
	next.Voters = append(next.Voters, id)
	return next, true
}
