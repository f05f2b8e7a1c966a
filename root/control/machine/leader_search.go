package machine

import (
	"slices"
	"time"
)

// leaderSearch finds the leader for the lease client once the one that it asked has not
// answered or does not lead. It asks one replica after the other and waits only shortly for
// each, since most of them may be gone, but uses answers that come later.
type leaderSearch struct {
	// active is set until a leader is heard.
	active bool
	// last is the replica that was asked last without a hint.
	last string
	// declined is set if the replica that is asked has answered that it does not lead.
	declined bool
	// askedAt holds when replicas were last asked in this search, and silentAt when they were
	// given up without an answer.
	askedAt, silentAt map[string]time.Time
	// followed is the leader that the consensus core of this process followed last.
	followed string
}

// searchTimeout returns how long a search waits for each replica. It grows with the number
// of VMs, which may all search at once.
func (t Timing) searchTimeout(vms int) time.Duration {
	return t.LeaderRetryDelay + time.Duration(vms)*t.PushIntervalPerHolder
}

// searchTimeout is that of this process. An entry without a view does not know how many VMs
// may search; replicas are few.
func (c *leaseClient) searchTimeout() time.Duration {
	if c.current.Term == 0 && c.m.replica == nil {
		return c.m.cfg.Timing.RenewTimeout
	}
	return c.m.cfg.Timing.searchTimeout(len(c.current.VMs))
}

// answerTimeout returns how long to wait for the replica that is asked next.
func (c *leaseClient) answerTimeout() time.Duration {
	if c.search.active {
		return c.searchTimeout()
	}
	return c.m.cfg.Timing.RenewTimeout
}

// ask makes a VM the one to send requests to, before it is known to lead.
func (c *leaseClient) ask(vm string) {
	c.leader = vm
	c.search.active, c.search.declined = true, false
	c.search.askedAt[vm] = c.m.now
	c.renewPending = false
	c.nextRenew = c.m.now
}

// giveUp ends the wait for the replica that is asked, and asks another one.
func (c *leaseClient) giveUp() {
	if !c.search.declined {
		c.search.silentAt[c.leader] = c.m.now
	}
	c.renewPending = false
	c.nextRenew = c.m.now
	c.tryNextReplica()
}

// foundSilent reports whether a replica has just not answered.
func (c *leaseClient) foundSilent(vm string) bool {
	at, silent := c.search.silentAt[vm]
	return silent && c.m.now.Sub(at) < 2*c.searchTimeout()
}

// justAsked reports whether a replica was asked so shortly ago that asking it again helps
// nothing. Replicas that name each other would be asked without a pause.
func (c *leaseClient) justAsked(vm string) bool {
	at, asked := c.search.askedAt[vm]
	return asked && c.m.now.Sub(at) < c.m.cfg.Timing.LeaderRetryDelay
}

func (c *leaseClient) tryNextReplica() {
	if vm := c.followedByCore(); vm != "" && vm != c.leader && !c.foundSilent(vm) {
		c.ask(vm)
		return
	}
	replicas := c.replicas()
	if len(replicas) == 0 {
		return
	}
	// Hints must not move the search: a replica that names a lost leader would lead back to
	// itself.
	i := slices.Index(replicas, c.search.last)
	c.search.last = replicas[(i+1)%len(replicas)]
	c.ask(c.search.last)
}

// followedByCore returns the leader that the consensus core of this process follows, or "".
func (c *leaseClient) followedByCore() string {
	if c.m.replica == nil {
		return ""
	}
	return c.m.replica.leaderHint()
}

// followCore asks the leader that the consensus core of this process follows, once.
func (c *leaseClient) followCore() {
	vm := c.followedByCore()
	if vm == c.search.followed {
		return
	}
	c.search.followed = vm
	if vm != "" && vm != c.leader {
		c.ask(vm)
	}
}

// onLeaderHeard ends the search. Proposals that were sent to others are sent again at once.
func (c *leaseClient) onLeaderHeard(leader string) {
	if c.search.active || leader != c.leader {
		c.renewPending = false
		c.m.proposals.sendAgain()
	}
	c.leader = leader
	c.search.active, c.search.declined = false, false
	clear(c.search.askedAt)
	clear(c.search.silentAt)
}

// sendAgain makes all pending proposals due.
func (p *proposals) sendAgain() {
	for _, pr := range p.pending {
		pr.nextSend = earlier(pr.nextSend, p.m.now)
	}
}

// onNotLeader follows a hint, or continues the search.
func (c *leaseClient) onNotLeader(from string, msg NotLeader) {
	if from != c.leader && !c.search.active {
		return
	}
	if msg.Leader != "" && msg.Leader != c.leader && !c.foundSilent(msg.Leader) && !c.justAsked(msg.Leader) {
		c.ask(msg.Leader)
		return
	}
	if from != c.leader {
		return
	}
	// The next replica is asked after LeaderRetryDelay, or at renewDeadline if that is
	// earlier. If no Renew is pending, renewDeadline is that of the previous one and
	// may have passed.
	c.search.active, c.search.declined = true, true
	c.renewPending = true
	c.renewDeadline = earlier(c.renewDeadline, c.m.now.Add(c.m.cfg.Timing.LeaderRetryDelay))
}
