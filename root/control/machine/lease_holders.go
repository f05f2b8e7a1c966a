package machine

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// leaseHolder is the leader's record of a process that was granted a view lease.
type leaseHolder struct {
	vm fleet.VM
	// expiresAt is when the lease has expired by the leader's clock. The holder's
	// lease ends earlier: it runs from the time the Renew was sent and is shortened
	// by the clock drift bound.
	expiresAt time.Time
	// confirmed is what the last Renew reported, and pushed what the holder has if
	// every push since then arrived. A push builds on pushed; a holder that cannot
	// apply it renews at once.
	confirmed, pushed view.Versions
	// askedSeq is the sequence of the view that the holder was last asked to confirm.
	askedSeq      uint64
	tableVersion  uint64
	demands       []fleet.Demand
	serverDemands []fleet.ServerDemand
	// loads are the holder's own requests per backend server, counted after its
	// traffic had switched to view loadsSeq of this term.
	loads    []fleet.OwnLoad
	loadsSeq uint64
}

// needsConfirmation reports whether the holder should confirm the current view at
// once, because a table change, a leaving VM or an answer waits for it. Other updates need
// no early Renew: in a large fleet those would cost the leader as much as the updates.
func (l *leader) needsConfirmation(id string, h *leaseHolder) bool {
	return len(l.leavingSeq) > 0 || h.tableVersion < l.currentTable().Version ||
		len(l.holders) <= maxPromptConfirmations && l.acks.awaits(id)
}

// renewedAt returns when the holder last renewed.
func (l *leader) renewedAt(h *leaseHolder) time.Time {
	return h.expiresAt.Add(-l.m.cfg.Timing.ViewLease)
}

func (l *leader) grantLease(to string, msg Renew) {
	lease := l.m.cfg.Timing.ViewLease
	h := l.holders[to]
	if h == nil {
		h = &leaseHolder{}
		l.holders[to] = h
	}
	h.vm = msg.VM
	h.expiresAt = l.m.now.Add(lease)
	h.demands = msg.Demands
	h.serverDemands = msg.ServerDemands
	l.serverLimits.observe(msg.ServerDemands)
	h.loads = msg.Loads
	h.loadsSeq = 0
	if msg.LoadsTerm == l.term {
		h.loadsSeq = msg.LoadsSeq
	}
	h.confirmed, h.tableVersion = view.Versions{Routes: msg.RoutesVersion}, 0
	if msg.ViewTerm == l.term {
		h.confirmed.Seq = msg.ViewSeq
		h.tableVersion = msg.TableVersion
	}
	h.pushed = h.confirmed
	g := Grant{Echo: msg.SentAt, Lease: lease, Term: l.term, Seq: l.seq(), Shares: l.shares.forVM(to), Left: l.hasLeft(to), ServerShares: l.serverLimits.forVM(to)}
	g.GrantedProbes = l.segments.grantedTo(to)
	if h.confirmed.Seq != l.seq() {
		g.Update = l.views.Since(h.confirmed)
		h.pushed = l.views.Versions()
	}
	l.m.send(to, g)
}

// removeStopped forgets a process that has drained and accepts no more work.
func (l *leader) removeStopped(from string) {
	delete(l.leavingSeq, from)
	delete(l.holders, from)
	l.segments.forget(from)
	l.fleet.RemoveVM(from)
	l.acks.onStopped(from)
	l.pushView()
	l.answerAppliedChanges()
}

// removeExpiredHolders forgets holders whose leases expired more than
// Fleet.RemoveAfter ago.
func (l *leader) removeExpiredHolders() {
	for id, h := range l.holders {
		if l.m.now.Sub(h.expiresAt) > l.m.cfg.Timing.Fleet.RemoveAfter {
			delete(l.holders, id)
			l.segments.forget(id)
		}
	}
}

// isLive reports whether the VM holds a lease of this leader.
func (l *leader) isLive(vm string) bool {
	h := l.holders[vm]
	return h != nil && l.m.now.Before(h.expiresAt)
}

// hasLeft reports whether no other holder of a live lease still has a view that
// shows the VM as accepting work.
func (l *leader) hasLeft(vm string) bool {
	seq, leaving := l.leavingSeq[vm]
	if !leaving || l.m.now.Before(l.earlierLeasesExpireAt()) {
		return false
	}
	for id, h := range l.holders {
		if id != vm && h.confirmed.Seq < seq && l.m.now.Before(h.expiresAt) {
			return false
		}
	}
	return true
}
