package machine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// pushBatch is the number of VMs to which the leader sends at once. A view that is sent to
// hundreds of VMs in one step occupies a small VM for up to half a second, and the
// heartbeats of consensus wait behind it.
const pushBatch = 16

// pushes sends new views to the lease holders, a few at a time.
type pushes struct {
	l *leader
	// next is the earliest time of the next push of a fleet change, and pending is set
	// while one is waiting for it.
	next    time.Time
	pending bool
	// waiting are the VMs to which the current view is still to be sent, in this order,
	// and nextBatch is the time at which it continues.
	waiting   []string
	nextBatch time.Time
	// unaware are the VMs that have not been told about this leader.
	unaware map[string]bool
}

// pushView builds a view of the current state and, if that changes the view, pushes
// it to the lease holders. Changes that an earlier updateView included are not pushed.
func (l *leader) pushView() {
	p := l.pushes
	p.pending = false
	p.next = l.m.now.Add(l.m.cfg.Timing.pushInterval(len(l.holders)))
	if !l.updateView() {
		return
	}
	p.enqueueHolders()
	p.tick()
}

func (p *pushes) enqueueHolders() {
	var holders []fleet.VM
	for _, id := range sortedKeys(p.l.holders) {
		vm := p.l.holders[id].vm
		vm.ID = id
		holders = append(holders, vm)
	}
	p.enqueue(holders)
}

// onFleetChange pushes a new view at most once per push interval. After a change of
// leader nearly every Renew changes the fleet.
func (l *leader) onFleetChange() {
	if l.m.now.Before(l.pushes.next) {
		l.pushes.pending = true
		return
	}
	l.pushView()
}

// announceLeadership tells the VMs of the last view about the new leader, so that
// they need not wait for a timeout on the previous one. They renew at once, so their
// number at a time bounds the Renews that arrive together.
func (p *pushes) announceLeadership(vms []fleet.VM) {
	self := p.l.m.cfg.Self.ID
	p.l.m.send(self, p.announcement())
	others := slices.DeleteFunc(slices.Clone(vms), func(vm fleet.VM) bool { return vm.ID == self })
	for _, vm := range others {
		p.unaware[vm.ID] = true
	}
	p.enqueue(others)
	p.tick()
}

func (p *pushes) announcement() Grant { return Grant{Term: p.l.term, Seq: p.l.seq(), Confirm: true} }

// enqueue adds VMs that are not waiting yet, replicas first: the next leader needs the
// view most.
func (p *pushes) enqueue(vms []fleet.VM) {
	slices.SortStableFunc(vms, func(a, b fleet.VM) int { return cmp.Compare(rank(a), rank(b)) })
	waiting := make(map[string]bool, len(p.waiting))
	for _, id := range p.waiting {
		waiting[id] = true
	}
	for _, vm := range vms {
		if !waiting[vm.ID] {
			p.waiting = append(p.waiting, vm.ID)
		}
	}
}

func rank(vm fleet.VM) int {
	if vm.Replica {
		return 0
	}
	return 1
}

func (p *pushes) tick() {
	now := p.l.m.now
	if len(p.waiting) > 0 && !now.Before(p.nextBatch) {
		p.sendBatch()
	}
	if p.pending && !now.Before(p.next) {
		p.l.pushView()
	}
}

// sendBatch sends to the next VMs, without those that have renewed meanwhile.
func (p *pushes) sendBatch() {
	sent := 0
	for len(p.waiting) > 0 && sent < pushBatch {
		id := p.waiting[0]
		p.waiting = p.waiting[1:]
		if p.send(id) {
			sent++
		}
	}
	p.nextBatch = p.l.m.now.Add(time.Duration(sent) * p.l.m.cfg.Timing.PushIntervalPerHolder)
}

// send sends the current view to a lease holder that lacks it, asks one that has it for a
// confirmation that others wait for, and sends the name of the leader to a VM that is
// unaware of it. It reports whether it sent anything.
func (p *pushes) send(id string) bool {
	l := p.l
	h := l.holders[id]
	switch {
	case h == nil && p.unaware[id]:
		delete(p.unaware, id)
		l.m.send(id, p.announcement())
		return true
	case h == nil:
		return false
	case h.pushed == l.views.Versions():
		if h.confirmed.Seq == l.seq() || h.askedSeq == l.seq() || !l.needsConfirmation(id, h) {
			return false
		}
		// The answer to a Renew asks for no confirmation.
		h.askedSeq = l.seq()
		l.m.send(id, p.announcement())
		return true
	}
	u := l.views.Since(h.pushed)
	h.pushed = l.views.Versions()
	confirm := l.needsConfirmation(id, h)
	if confirm {
		h.askedSeq = l.seq()
	}
	l.m.send(id, Grant{Term: l.term, Seq: l.seq(), Update: u, Confirm: confirm})
	return true
}

func (p *pushes) nextWake() time.Time {
	var wake time.Time
	if p.pending {
		wake = p.next
	}
	if len(p.waiting) > 0 {
		wake = earlier(p.nextBatch, wake)
	}
	return wake
}
