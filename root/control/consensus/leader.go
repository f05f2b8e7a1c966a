package consensus

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// leadership is the state of a leader.
type leadership struct {
	electedAt   time.Duration
	heartbeatAt time.Duration
	// firstIndex is the index of the first entry of the term.
	firstIndex  uint64
	uncommitted int
	peers       map[NodeID]*peer
	rounds      rounds
	reads       []read
	transfer    transfer
}

// transfer is a hand-over of leadership under way.
type transfer struct {
	to       NodeID
	deadline time.Duration
	// sent is set once MsgTimeoutNow is out; the lease is given up for good then.
	sent bool
}

func (c *Core) becomeLeader() {
	c.role, c.leader, c.votes = leader, c.cfg.ID, nil
	c.cold.fresh = false
	c.lead = &leadership{electedAt: c.now, peers: map[NodeID]*peer{}}
	c.syncPeers()
	c.lead.firstIndex = c.propose(Entry{Kind: EntryNoop})
	c.heartbeat()
}

// settled reports whether an entry of the leader's own term is committed.
func (c *Core) settled() bool { return c.commit >= c.lead.firstIndex }

// syncPeers matches the followers to the latest set of members.
func (c *Core) syncPeers() {
	m := c.members()
	for id := range c.lead.peers {
		if !m.isVoter(id) && !m.isLearner(id) {
			delete(c.lead.peers, id)
		}
	}
	for _, id := range c.others() {
		if c.lead.peers[id] == nil {
			c.lead.peers[id] = &peer{next: c.log.last() + 1, probing: true}
		}
	}
}

// others returns all members but this replica in a fixed order.
func (c *Core) others() []NodeID {
	m := c.members()
	ids := make([]NodeID, 0, len(m.Voters)+len(m.Learners))
	for _, group := range [][]NodeID{m.Voters, m.Learners} {
		for _, id := range group {
			if id != c.cfg.ID {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

func (c *Core) tickLeader() {
	if c.now >= c.quorumDeadline() {
		c.becomeFollower(c.term, "")
		return
	}
	if t := &c.lead.transfer; t.to != "" && c.now >= t.deadline {
		if t.sent {
			c.becomeFollower(c.term, "")
			return
		}
		*t = transfer{}
	}
	if c.now >= c.lead.heartbeatAt {
		c.heartbeat()
	}
}

// quorumDeadline is when a leader that hears from no quorum steps down.
func (c *Core) quorumDeadline() time.Duration {
	return max(c.lead.electedAt, c.quorumAckedAt()) + c.cfg.ElectionTimeout
}

func (c *Core) nextLeaderWake() time.Duration {
	wake := min(c.lead.heartbeatAt, c.quorumDeadline())
	if c.lead.transfer.to != "" {
		wake = min(wake, c.lead.transfer.deadline)
	}
	return wake
}

// TransferLeadership hands leadership to another voter once it has the whole
// log. Proposals are refused meanwhile. The lease ends when the voter is told;
// if it does not take over within an election timeout, the leader steps down.
// Kinds: NotLeader, Conflict during another transfer, Invalid.
func (c *Core) TransferLeadership(now time.Time, to NodeID) error {
	c.advance(now)
	switch {
	case c.role != leader:
		return fault.New(fault.NotLeader, part, "replica %s is not the leader", c.cfg.ID)
	case to == c.cfg.ID || !c.members().isVoter(to):
		return fault.New(fault.Invalid, part, "%s can't take over", to)
	case c.lead.transfer.to != "":
		return fault.New(fault.Conflict, part, "leadership moves to %s already", c.lead.transfer.to)
	}
	c.lead.transfer = transfer{to: to, deadline: c.now + c.cfg.ElectionTimeout}
	c.continueTransfer()
	return nil
}

// continueTransfer tells the new leader once it has the whole log.
func (c *Core) continueTransfer() {
	t := &c.lead.transfer
	if t.to == "" || t.sent {
		return
	}
	if p := c.lead.peers[t.to]; p == nil || p.match != c.log.last() {
		return
	}
	t.sent = true
	c.send(Message{Kind: MsgTimeoutNow, To: t.to})
}

// leaveIfRemoved makes a leader that is no longer a voter hand over and step
// down once its removal is committed.
func (c *Core) leaveIfRemoved() {
	last := c.configs[len(c.configs)-1]
	if last.index > c.commit || last.members.isVoter(c.cfg.ID) {
		return
	}
	c.heartbeat()
	if heir := c.mostAdvancedVoter(); heir != "" {
		c.lead.transfer = transfer{to: heir, sent: true}
		c.send(Message{Kind: MsgTimeoutNow, To: heir})
	}
	c.becomeFollower(c.term, "")
}

func (c *Core) mostAdvancedVoter() NodeID {
	var best NodeID
	var match uint64
	for _, id := range c.members().Voters {
		if p := c.lead.peers[id]; p != nil && p.match >= match {
			best, match = id, p.match
		}
	}
	return best
}
