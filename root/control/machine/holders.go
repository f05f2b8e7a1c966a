package machine

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// leaseHolder is a process that holds a view lease.
type leaseHolder struct {
	vm fleet.VM
	// until is when the lease has run out by this clock, drift included.
	until time.Time
	// holds is what its last Renew named, pushed what it has if no push since was
	// lost: a push builds on that, and one that can't be applied brings a Renew.
	holds, pushed view.Versions
	tableVersion  uint64
	demands       []fleet.Demand
	// loads are its own requests per backend server, counted while the view
	// loadsSeq of this term was in force for its traffic.
	loads    []fleet.OwnLoad
	loadsSeq uint64
}

// awaits reports whether something waits until the holder has the present view
// in force: the answer to a change of the table, or a VM that leaves. Other news
// needs no Renew ahead of time, which in a large fleet would cost the leader as
// much as the news itself.
func (l *leader) awaits(h *leaseHolder) bool {
	return len(l.leaving) > 0 || h.tableVersion < l.tableInView().Version
}

func (l *leader) grant(to string, msg Renew) {
	lease := l.m.cfg.Timing.ViewLease
	h := l.holders[to]
	if h == nil {
		h = &leaseHolder{}
		l.holders[to] = h
	}
	h.vm = msg.VM
	h.until = l.m.now.Add(lease)
	h.demands = msg.Demands
	h.loads = msg.Loads
	h.loadsSeq = 0
	if msg.LoadsTerm == l.term {
		h.loadsSeq = msg.LoadsSeq
	}
	h.holds, h.tableVersion = view.Versions{Routes: msg.RoutesVersion}, 0
	if msg.ViewTerm == l.term {
		h.holds.Seq = msg.ViewSeq
		h.tableVersion = msg.TableVersion
	}
	h.pushed = h.holds
	g := Grant{Echo: msg.SentAt, Lease: lease, Term: l.term, Seq: l.seq(), Shares: l.shares.of(to), Left: l.hasLeft(to)}
	if h.holds.Seq != l.seq() {
		g.Update = l.journal.Since(h.holds)
		h.pushed = l.journal.Versions()
	}
	l.m.send(to, g)
}

// release forgets a process that has drained: it takes no new work any more.
func (l *leader) release(from string) {
	delete(l.leaving, from)
	delete(l.holders, from)
	l.fleet.RemoveVM(from)
	l.rebuild()
	l.checkInForce()
}

// dropHolders forgets leases that ran out long ago.
func (l *leader) dropHolders() {
	for id, h := range l.holders {
		if l.m.now.Sub(h.until) > l.m.cfg.Timing.Fleet.RemoveAfter {
			delete(l.holders, id)
		}
	}
}

// hasLeft holds once no entry that may answer callers has a view in force in
// which the VM still takes work.
func (l *leader) hasLeft(vm string) bool {
	seq, leaving := l.leaving[vm]
	if !leaving || l.m.now.Before(l.leasesBefore()) {
		return false
	}
	for id, h := range l.holders {
		if id != vm && h.holds.Seq < seq && l.m.now.Before(h.until) {
			return false
		}
	}
	return true
}
