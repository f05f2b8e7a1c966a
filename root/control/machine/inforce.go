package machine

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// proposer is where the answer to a committed entry goes. An empty VM means nowhere.
type proposer struct {
	vm   string
	id   uint64
	term uint64
}

// inForce is an accepted table change whose answer waits until every lease
// holder has it in force or has lost its lease.
type inForce struct {
	version uint64
	to      proposer
	result  replicated.Result
}

func (l *leader) propose(from string, msg Propose) {
	p := proposer{vm: from, id: msg.ID}
	if l.isPending(p) {
		return
	}
	switch cmd := msg.Command.(type) {
	case replicated.RecordOrder:
		l.orders.request(p, cmd)
	case replicated.ReadRoutes:
		l.read(p)
	case replicated.AcquireAuthority, replicated.AbandonWork, replicated.Tick:
		l.answer(p, replicated.Result{Err: fault.New(fault.Invalid, part, "only the leader makes this command")})
	default:
		l.commit(msg.Command, p)
	}
}

func (l *leader) isPending(p proposer) bool {
	for _, w := range l.waiting {
		if w.vm == p.vm && w.id == p.id {
			return true
		}
	}
	for _, f := range l.inForce {
		if f.to.vm == p.vm && f.to.id == p.id {
			return true
		}
	}
	for _, r := range l.reads {
		if r.vm == p.vm && r.id == p.id {
			return true
		}
	}
	return l.orders.isPending(p)
}

func (l *leader) commit(cmd replicated.Command, p proposer) {
	data, err := l.r.codec.EncodeCommand(replicated.WithTimestamp(cmd, l.m.now.UnixMilli()))
	if err != nil {
		l.answer(p, replicated.Result{Err: fault.From(err)})
		return
	}
	index, err := l.r.core.Propose(l.m.now, data)
	if err != nil {
		l.declined(p, err)
		return
	}
	p.term = l.term
	l.waiting[index] = p
}

// declined answers a proposal that was not taken into the log. While leadership
// moves, the proposer asks again, and nobody is refused.
func (l *leader) declined(p proposer, err error) {
	moves := fault.Is(err, fault.NotReady) || fault.Is(err, fault.NotLeader)
	if moves && p.vm != "" {
		l.m.send(p.vm, NotLeader{Proposal: p.id})
		return
	}
	l.answer(p, replicated.Result{Err: fault.From(err)})
}

// applied answers the proposer of a committed entry. A changed table is
// answered only once it is in force everywhere.
func (l *leader) applied(e consensus.Entry, cmd replicated.Command, result replicated.Result) {
	p, mine := l.waiting[e.Index]
	delete(l.waiting, e.Index)
	mine = mine && p.term == e.Term
	switch cmd.(type) {
	case replicated.ChangeTable:
		l.tableChanged(p, mine, result)
		return
	case replicated.SetDrain, replicated.SetFencing, replicated.ReplaceRoutes:
		l.fleetChanged()
	case replicated.RecordFleet:
		l.recordAgainAt = time.Time{}
	}
	l.orders.applied(cmd, result)
	if mine {
		l.answer(p, result)
	}
}

func (l *leader) tableChanged(p proposer, mine bool, result replicated.Result) {
	if result.Err != nil {
		if mine {
			l.answer(p, result)
		}
		return
	}
	if l.tableInView().Version < l.r.state.Table().Version {
		l.rebuild()
	}
	if mine {
		l.inForce = append(l.inForce, inForce{version: result.Version, to: p, result: result})
	}
	l.checkInForce()
}

// checkInForce answers the changes that every live lease holder has in force.
func (l *leader) checkInForce() {
	kept := l.inForce[:0]
	for _, f := range l.inForce {
		if l.isInForce(f.version) {
			l.answer(f.to, f.result)
			continue
		}
		kept = append(kept, f)
	}
	l.inForce = kept
}

// isInForce holds once each lease granted on an older version has run out,
// those of an earlier leader included.
func (l *leader) isInForce(version uint64) bool {
	if l.m.now.Before(l.leasesBefore()) && l.m.keeps(ruleEarlierLeases) {
		return false
	}
	for _, h := range l.holders {
		if h.tableVersion < version && l.m.now.Before(h.until) && l.m.keeps(ruleAwaitHolders) {
			return false
		}
	}
	return true
}

// leasesBefore is when the leases of an earlier leader have run out.
func (l *leader) leasesBefore() time.Time {
	return l.since.Add(l.m.cfg.Timing.ViewLease)
}

func (l *leader) answer(p proposer, result replicated.Result) {
	if p.vm != "" {
		l.m.send(p.vm, Proposed{ID: p.id, Result: result})
	}
}
