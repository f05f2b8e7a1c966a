package machine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// leaseClient maintains the view and the view lease of this process. Every process
// has one.
//
// Invariants: published views are ordered by term, then sequence, and never go back.
// The lease is extended only while the process has applied the leader's current view.
type leaseClient struct {
	m       *Machine
	current *view.View
	// leader is the VM to send requests to; a guess until a Grant arrives.
	leader    string
	nextRenew time.Time
	// renewPending is set while the process waits for a Grant. At renewDeadline it
	// asks the next replica.
	renewPending  bool
	renewDeadline time.Time
	search        leaderSearch
	announcements map[string]announcement
	// reportedBefore is the send time, since process start, of the last Renew that
	// the leader of reportedTerm has answered. That leader knows everything that was
	// reported to this process earlier.
	reportedBefore time.Duration
	reportedTerm   uint64
	traffic        TrafficReport
	// trafficAt is when traffic arrived.
	trafficAt time.Time
	segments  segmentReports
	contact   leaderContact
	state     fleet.State
	stopped   bool
}

type announcement struct {
	server     fleet.Server
	receivedAt time.Time
}

func newLeaseClient(m *Machine) *leaseClient {
	c := &leaseClient{m: m, announcements: map[string]announcement{}, nextRenew: m.now, current: &view.View{LeaseOptional: m.cfg.LeaseOptional}}
	c.segments.client = c
	c.search = leaderSearch{askedAt: map[string]time.Time{}, silentAt: map[string]time.Time{}}
	c.contact = leaderContact{heardAt: m.now, asked: map[string]bool{}}
	return c
}

// onAnnounced records the announcement of a backend server. A new server, or a change
// of state, incarnation or role, is reported to the leader at once.
func (c *leaseClient) onAnnounced(s fleet.Server) {
	old, known := c.announcements[s.ID]
	if known && !s.Supersedes(old.server) {
		return
	}
	c.announcements[s.ID] = announcement{server: s, receivedAt: c.m.now}
	if !known || old.server.State != s.State || old.server.Incarnation != s.Incarnation || old.server.Role != s.Role {
		c.nextRenew = c.m.now
	}
}

// onDeregistered records that a backend server is stopping. The leader is told even
// if this process does not know the server, because another process may.
func (c *leaseClient) onDeregistered(d Deregistered) {
	s := c.knownServer(d.Server)
	if d.Incarnation != 0 {
		s.Incarnation = d.Incarnation
	}
	s.State = fleet.Leaving
	s.Sequence = fleet.LastSequence
	c.onAnnounced(s)
}

// knownServer returns what this process knows about a server, or just its id.
func (c *leaseClient) knownServer(id string) fleet.Server {
	if a, ok := c.announcements[id]; ok {
		return a.server
	}
	for _, s := range c.current.Servers {
		if s.ID == id {
			return s
		}
	}
	return fleet.Server{ID: id}
}

func (c *leaseClient) onTraffic(t TrafficReport) { c.traffic, c.trafficAt = t, c.m.now }

func (c *leaseClient) onStop(phase StopPhase) {
	c.state = fleet.Leaving
	c.nextRenew = c.m.now
	switch phase {
	case StopLeaving:
		c.publishView(func(v *view.View) { v.Leaving = true })
	case StopRefusing:
		c.publishView(func(v *view.View) { v.Stopping = true })
	case StopDone:
		c.stopped = true
	}
	// Transfer leadership while this process still takes part in consensus, and again
	// at the end in case the transfer failed or this process was elected again.
	if c.m.replica != nil && phase != StopRefusing {
		c.m.replica.transferLeadership()
	}
}

func (c *leaseClient) tick() {
	if c.renewPending && !c.m.now.Before(c.renewDeadline) {
		c.giveUp()
	}
	c.followCore()
	if !c.m.now.Before(c.nextRenew) {
		c.renew()
	}
	c.checkContact()
}

func (c *leaseClient) nextWake() time.Time {
	if c.renewPending {
		return earlier(c.nextRenew, c.renewDeadline)
	}
	return c.nextRenew
}

func (c *leaseClient) renew() {
	if c.leader == "" {
		c.tryNextReplica()
	}
	t := c.m.cfg.Timing
	c.nextRenew = c.m.now.Add(t.RenewInterval)
	// The timeout runs from the first unanswered Renew.
	if !c.renewPending {
		c.renewPending = true
		c.renewDeadline = c.m.now.Add(c.answerTimeout())
	}
	c.noteAsked()
	c.m.send(c.leader, c.renewMessage())
}

func (c *leaseClient) renewMessage() Renew {
	vm := c.m.cfg.Self
	vm.State = c.advertisedState()
	vm.InFlight = c.traffic.InFlight
	vm.Replica = c.m.replica != nil
	return c.segments.addTo(Renew{
		VM:            vm,
		SentAt:        c.m.now.Sub(c.m.started),
		ViewTerm:      c.current.Term,
		ViewSeq:       c.current.Seq,
		TableVersion:  c.current.Table.Version,
		RoutesVersion: c.routesVersion(),
		Heard:         c.unreportedAnnouncements(),
		Loads:         c.traffic.Loads,
		LoadsTerm:     c.traffic.ViewTerm,
		LoadsSeq:      c.traffic.ViewSeq,
		Demands:       c.traffic.Demands,

		ServerDemands: c.serverDemands(),
		Replica:       c.replicaID(),
		Stopped:       c.stopped,
	})
}

// serverDemands returns the demands of the last traffic report with their present age.
func (c *leaseClient) serverDemands() []fleet.ServerDemand {
	out := slices.Clone(c.traffic.ServerDemands)
	for i := range out {
		out[i].Age += c.m.now.Sub(c.trafficAt)
	}
	return out
}

func (c *leaseClient) routesVersion() uint64 {
	if c.current.Routes == nil {
		return 0
	}
	return c.current.Routes.Version
}

// advertisedState keeps callers away until this process may accept new work.
func (c *leaseClient) advertisedState() fleet.State {
	if c.state == fleet.Active && !c.current.Ready(c.m.now) {
		return fleet.Suspected
	}
	return c.state
}

func (c *leaseClient) replicaID() consensus.ReplicaID {
	if c.m.replica == nil {
		return ""
	}
	return c.m.replica.id
}

// unreportedAnnouncements returns recent announcements that the leader has not
// confirmed, and drops expired ones.
func (c *leaseClient) unreportedAnnouncements() []fleet.Announcement {
	out := make([]fleet.Announcement, 0, len(c.announcements))
	for _, id := range sortedKeys(c.announcements) {
		a := c.announcements[id]
		age := c.m.now.Sub(a.receivedAt)
		if age >= c.m.cfg.Timing.Fleet.RemoveAfter {
			delete(c.announcements, id)
			continue
		}
		if !c.confirmed(a.receivedAt) {
			out = append(out, fleet.Announcement{Server: a.server, Age: age})
		}
	}
	return out
}

// confirmed reports whether the leader knows what this process reported at the given
// time.
func (c *leaseClient) confirmed(at time.Time) bool { return at.Sub(c.m.started) < c.reportedBefore }

// replicas returns the VMs that may lead, those in the settings and those in the view, in
// an order of this VM's own: VMs that lose a leader together ask different replicas for
// the next one.
func (c *leaseClient) replicas() []string {
	out := slices.Clone(c.m.cfg.Replicas)
	for _, vm := range c.current.VMs {
		if vm.Replica && !slices.Contains(out, vm.ID) {
			out = append(out, vm.ID)
		}
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(c.preference(a), c.preference(b)) })
	return out
}

// preference returns the position of a replica in the order of this VM.
func (c *leaseClient) preference(replica string) uint64 {
	return xxhash.Sum64String(c.m.cfg.Self.ID + "\x00" + replica)
}

// onGrant applies a lease, a newer view, or both. A Grant of an older term is
// ignored.
func (c *leaseClient) onGrant(from string, g Grant) {
	if g.Term < c.current.Term && c.m.enforces(ruleMonotonicViews) {
		return
	}
	c.onLeaderHeard(from)
	c.noteGrant()
	c.updateReported(g)
	applied := g.Update == nil || c.applyUpdate(g.Update)
	c.segments.onGranted(g.GrantedProbes)
	if g.Lease == 0 {
		if g.Confirm || !applied {
			c.nextRenew = c.m.now
		}
		return
	}
	c.renewPending = false
	if g.Term == c.current.Term && g.Seq == c.current.Seq {
		c.extendLease(g)
	}
	if g.Left && !c.current.Left {
		c.publishView(func(v *view.View) { v.Left = true })
	}
	if len(g.Shares) > 0 {
		c.m.emit(SetShares{Shares: g.Shares})
	}
	if len(g.ServerShares) > 0 {
		c.m.emit(SetServerShares{Shares: g.ServerShares})
	}
}

// updateReported records what the leader has confirmed. A leader of another term is
// sent every announcement again at once, because a server deregisters only once.
func (c *leaseClient) updateReported(g Grant) {
	switch {
	case g.Term != c.reportedTerm:
		c.reportedBefore, c.reportedTerm = 0, g.Term
		c.nextRenew = c.m.now
	case g.Lease > 0:
		c.reportedBefore = max(c.reportedBefore, g.Echo)
	}
}

// applyUpdate applies and publishes an update that is newer than the current view.
// It returns false for a newer update that is based on a view or routes that this
// process does not have.
func (c *leaseClient) applyUpdate(u *view.Update) bool {
	cur := c.current
	if !c.m.enforces(ruleMonotonicViews) {
		cur = &view.View{LeaseUntil: cur.LeaseUntil, LeaseOptional: cur.LeaseOptional, Leaving: cur.Leaving, Stopping: cur.Stopping}
	}
	next, ok := u.Apply(cur)
	if !ok {
		return !u.Newer(cur)
	}
	c.current = next
	c.m.emit(Publish{View: c.current})
	return true
}

// extendLease extends the lease. It is measured from the time the Renew was sent
// and shortened by the clock drift bound, so that it never outlasts the leader's
// record of it.
func (c *leaseClient) extendLease(g Grant) {
	drift := time.Duration(float64(g.Lease) * c.m.cfg.Timing.MaxClockDrift)
	sent := c.m.started.Add(g.Echo)
	if !c.m.enforces(ruleLeaseFromSend) {
		sent = c.m.now
	}
	until := sent.Add(g.Lease - drift)
	if !until.After(c.current.LeaseUntil) {
		return
	}
	wasReady := c.current.Ready(c.m.now)
	c.publishView(func(v *view.View) { v.LeaseUntil = until })
	if !wasReady {
		// Report at once that this process may accept new work.
		c.nextRenew = c.m.now
	}
}

func (c *leaseClient) publishView(change func(*view.View)) {
	next := *c.current
	change(&next)
	c.current = &next
	c.m.emit(Publish{View: c.current})
}
