package machine

import "time"

// LeaderLost reports that the view of this process is no longer fresh, for the log.
type LeaderLost struct {
	Term, Seq, RoutesVersion uint64
	// Silence is the time since the last Grant, or since the start of the process.
	Silence time.Duration
	// Asking is the replica that this process asks now; empty if it knows none.
	Asking string
}

// LeaderFound reports, after a LeaderLost, that the view is fresh again, for the log.
type LeaderFound struct {
	Leader                   string
	Term, Seq, RoutesVersion uint64
	// Silence is the time since the last Grant before the LeaderLost, and Asked the
	// number of VMs that were asked in it.
	Silence time.Duration
	Asked   int
}

func (LeaderLost) effect()  {}
func (LeaderFound) effect() {}

// leaderContact reports when the view of this process stops being fresh, and when it is
// fresh again.
type leaderContact struct {
	// heardAt is when the last Grant arrived, or when the process started.
	heardAt time.Time
	// lost is set while the view is not fresh, and lostSince is heardAt as of then.
	lost      bool
	lostSince time.Time
	// asked are the VMs that were sent a Renew since heardAt, or since lostSince.
	asked map[string]bool
}

func (c *leaseClient) noteAsked() { c.contact.asked[c.leader] = true }

func (c *leaseClient) noteGrant() {
	c.contact.heardAt = c.m.now
	if !c.contact.lost {
		clear(c.contact.asked)
	}
}

// checkContact emits a LeaderLost or LeaderFound. A process that has just started has no
// view yet.
func (c *leaseClient) checkContact() {
	s, v, now := &c.contact, c.current, c.m.now
	fresh := v.Fresh(now)
	switch {
	case !s.lost && !fresh && now.Sub(c.m.started) >= c.m.cfg.Timing.ViewLease/2:
		s.lost, s.lostSince = true, s.heardAt
		c.m.emit(LeaderLost{
			Term: v.Term, Seq: v.Seq, RoutesVersion: c.routesVersion(), Silence: now.Sub(s.lostSince), Asking: c.leader,
		})
	case s.lost && fresh:
		s.lost = false
		c.m.emit(LeaderFound{
			Leader: c.leader, Term: v.Term, Seq: v.Seq, RoutesVersion: c.routesVersion(), Silence: now.Sub(s.lostSince), Asked: len(s.asked),
		})
		clear(s.asked)
	}
}
