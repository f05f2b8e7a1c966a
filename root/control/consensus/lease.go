package consensus

import (
	"slices"
	"time"
)

// rounds are the heartbeat rounds of the last election timeout. Their numbers
// are consecutive.
type rounds struct {
	last uint64
	sent []time.Duration
}

// start opens a round at the given time and forgets those sent before oldest.
func (r *rounds) start(now, oldest time.Duration) {
	for len(r.sent) > 0 && r.sent[0] < oldest {
		r.sent = r.sent[1:]
	}
	r.last++
	r.sent = append(r.sent, now)
}

// sentAt returns the send time of a round that is still remembered.
func (r *rounds) sentAt(round uint64) (time.Duration, bool) {
	first := r.last + 1 - uint64(len(r.sent))
	if round < first || round > r.last {
		return 0, false
	}
	return r.sent[round-first], true
}

// leaseRatio returns the part of an election timeout for which a lease holds.
// A voter with a fast clock keeps its promise for timeout/(1+drift) of true
// time; a leader with a slow clock measures that as timeout*(1-drift)/(1+drift).
func leaseRatio(drift float64) float64 { return (1 - drift) / (1 + drift) }

// heartbeat opens a round with every member.
func (c *Core) heartbeat() {
	c.lead.heartbeatAt = c.now + c.cfg.HeartbeatInterval
	c.lead.rounds.start(c.now, c.now-c.cfg.ElectionTimeout)
	for _, id := range c.others() {
		c.sendHeartbeat(id, c.lead.peers[id])
	}
}

// acknowledged notes that a member answered a round.
func (c *Core) acknowledged(p *peer, round uint64) {
	if round <= p.ackedRound || round > c.lead.rounds.last {
		return
	}
	p.ackedRound = round
	if at, ok := c.lead.rounds.sentAt(round); ok {
		p.ackedAt, p.acked = at, true
	}
}

// quorumAckedAt returns the latest time at which a quorum is known to have
// followed this leader: the send time of the newest round that it answered.
func (c *Core) quorumAckedAt() time.Duration {
	return time.Duration(c.quorumValue(func(id NodeID) int64 {
		if id == c.cfg.ID {
			return int64(c.now)
		}
		p := c.lead.peers[id]
		if !p.acked {
			return -int64(c.cfg.ElectionTimeout)
		}
		return int64(p.ackedAt)
	}))
}

// quorumRound returns the newest round that a quorum answered.
func (c *Core) quorumRound() uint64 {
	return uint64(c.quorumValue(func(id NodeID) int64 {
		if id == c.cfg.ID {
			return int64(c.lead.rounds.last)
		}
		return int64(c.lead.peers[id].ackedRound)
	}))
}

// quorumValue returns the highest value that a quorum of voters has reached.
func (c *Core) quorumValue(value func(NodeID) int64) int64 {
	voters := c.members().Voters
	values := make([]int64, 0, len(voters))
	for _, id := range voters {
		values = append(values, value(id))
	}
	slices.Sort(values)
	return values[len(values)-c.rules.quorum(len(values))]
}

// leaseUntil returns the end of the lease, or 0 without one. A leader has none
// before it is settled, after it told another voter to take over, or once it takes
// itself out of the voters: a cold start would not ask it.
func (c *Core) leaseUntil() time.Duration {
	if c.role != leader || !c.settled() || c.lead.transfer.sent || !c.members().isVoter(c.cfg.ID) {
		return 0
	}
	ratio := c.rules.leaseRatio(c.cfg.MaxClockDrift)
	return max(0, c.quorumAckedAt()+time.Duration(ratio*float64(c.cfg.ElectionTimeout)))
}
