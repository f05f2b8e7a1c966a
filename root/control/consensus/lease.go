package consensus

import (
	"slices"
	"time"
)

// rounds records the send times of the heartbeat rounds of the last election
// timeout. Rounds are numbered consecutively.
type rounds struct {
	last      uint64
	sentTimes []time.Duration
}

// start begins a round at now and drops the rounds sent before oldest.
func (r *rounds) start(now, oldest time.Duration) {
	for len(r.sentTimes) > 0 && r.sentTimes[0] < oldest {
		r.sentTimes = r.sentTimes[1:]
	}
	r.last++
	r.sentTimes = append(r.sentTimes, now)
}

// sentAt returns the send time of a round. It reports false for a round that was
// dropped or never started.
func (r *rounds) sentAt(round uint64) (time.Duration, bool) {
	first := r.last + 1 - uint64(len(r.sentTimes))
	if round < first || round > r.last {
		return 0, false
	}
	return r.sentTimes[round-first], true
}

// leaseFraction returns the fraction of an election timeout for which a lease is
// valid. A voter with a fast clock refuses votes for only timeout/(1+drift) of true
// time; a leader with a slow clock measures that as timeout*(1-drift)/(1+drift).
func leaseFraction(drift float64) float64 { return (1 - drift) / (1 + drift) }

// broadcastHeartbeat starts a heartbeat round with all other members.
func (c *Core) broadcastHeartbeat() {
	c.leaderState.nextHeartbeat = c.now + c.cfg.HeartbeatInterval
	c.leaderState.rounds.start(c.now, c.now-c.cfg.ElectionTimeout)
	for _, id := range c.peerIDs() {
		c.sendHeartbeat(id, c.leaderState.peers[id])
	}
}

// recordAck records that a member replied to a heartbeat round.
func (c *Core) recordAck(p *peer, round uint64) {
	if round <= p.ackedRound || round > c.leaderState.rounds.last {
		return
	}
	p.ackedRound = round
	if sentAt, ok := c.leaderState.rounds.sentAt(round); ok {
		p.ackedAt, p.acked = sentAt, true
	}
}

// quorumAckedAt returns the latest time at which a quorum is known to have followed
// this leader. The time of a reply is the send time of its round, since the voter
// may have handled the message at any time after that.
func (c *Core) quorumAckedAt() time.Duration {
	return time.Duration(c.quorumValue(func(id ReplicaID) int64 {
		if id == c.cfg.ID {
			return int64(c.now)
		}
		p := c.leaderState.peers[id]
		if !p.acked {
			// So early that it yields no lease and does not postpone the quorum deadline.
			return -int64(c.cfg.ElectionTimeout)
		}
		return int64(p.ackedAt)
	}))
}

// quorumRound returns the latest round that a quorum has acknowledged.
func (c *Core) quorumRound() uint64 {
	return uint64(c.quorumValue(func(id ReplicaID) int64 {
		if id == c.cfg.ID {
			return int64(c.leaderState.rounds.last)
		}
		return int64(c.leaderState.peers[id].ackedRound)
	}))
}

// quorumValue returns the highest value that a quorum of voters has reached or
// exceeded.
func (c *Core) quorumValue(value func(ReplicaID) int64) int64 {
	voters := c.members().Voters
	values := make([]int64, 0, len(voters))
	for _, id := range voters {
		values = append(values, value(id))
	}
	slices.Sort(values)
	return values[len(values)-c.rules.quorum(len(values))]
}

// leaseUntil returns the time at which the lease expires, or 0 without a lease. A
// leader has no lease before it has committed an entry in its term, after it sent
// MsgTimeoutNow, or once its log removes it from the voters, since a cold start
// does not ask non-voters.
func (c *Core) leaseUntil() time.Duration {
	if c.role != leader || !c.committedInTerm() || c.leaderState.transfer.timeoutNowSent || !c.members().isVoter(c.cfg.ID) {
		return 0
	}
	fraction := c.rules.leaseFraction(c.cfg.MaxClockDrift)
	return max(0, c.quorumAckedAt()+time.Duration(fraction*float64(c.cfg.ElectionTimeout)))
}
