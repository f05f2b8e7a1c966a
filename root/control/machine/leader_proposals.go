package machine

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// proposer is where the answer to a proposal goes. An empty vm means that no answer
// is sent.
type proposer struct {
	vm string
	id uint64
	// term is the term in which the leader proposed the entry.
	term uint64
	// receivedAt is when the leader received the proposal.
	receivedAt time.Time
}

// pendingChange is an accepted table change that is answered once every lease
// holder has applied it or lost its lease.
type pendingChange struct {
	version  uint64
	proposer proposer
	result   replicated.Result
}

// onPropose handles a command proposed by a process. Commands that only the leader
// issues are rejected.
func (l *leader) onPropose(from string, msg Propose) {
	p := proposer{vm: from, id: msg.ID, receivedAt: l.m.now}
	if l.isPending(p) {
		return
	}
	switch cmd := msg.Command.(type) {
	case replicated.RecordOrder:
		if !l.orders.repeat(p) {
			l.orders.request(p, cmd)
		}
	case replicated.SettleOrder:
		cmd.Proposals = l.orders.proposals(cmd.Server)
		l.propose(cmd, p)
	case replicated.ReadRoutes:
		l.readRoutes(p)
	case replicated.RecordFleet:
		l.onDepartures(p, cmd.Servers)
	case replicated.AcquireAuthority, replicated.AbandonWork, replicated.QuarantineSegments, replicated.ReleaseSegments,
		replicated.Tick:
		l.answer(p, replicated.Result{Err: fault.New(fault.Invalid, part, "only the leader may propose this command")})
	default:
		l.propose(msg.Command, p)
	}
}

func (l *leader) isPending(p proposer) bool {
	for _, other := range l.proposers {
		if other.vm == p.vm && other.id == p.id {
			return true
		}
	}
	for _, change := range l.pendingChanges {
		if change.proposer.vm == p.vm && change.proposer.id == p.id {
			return true
		}
	}
	for _, read := range l.reads {
		if read.proposer.vm == p.vm && read.proposer.id == p.id {
			return true
		}
	}
	return l.acks.isPending(p) || l.orders.isPending(p)
}

// propose appends a command to the log. p is answered once the command is applied, or
// at once if the core rejects it; a rejected command without a proposer is dropped.
func (l *leader) propose(cmd replicated.Command, p proposer) {
	data, err := l.r.codec.EncodeCommand(replicated.WithTimestamp(cmd, l.m.now.UnixMilli()))
	if err != nil {
		l.answer(p, replicated.Result{Err: fault.From(err)})
		return
	}
	index, err := l.r.core.Propose(l.m.now, data)
	if err != nil {
		l.proposeFailed(p, err)
		return
	}
	p.term = l.term
	l.proposers[index] = p
}

// proposeFailed answers a proposal that the core did not append. During a change of
// leadership the proposer is told to retry instead of receiving an error.
func (l *leader) proposeFailed(p proposer, err error) {
	transferring := fault.Is(err, fault.NotReady) || fault.Is(err, fault.NotLeader)
	if transferring && p.vm != "" {
		l.m.send(p.vm, NotLeader{Proposal: p.id})
		return
	}
	l.answer(p, replicated.Result{Err: fault.From(err)})
}

// onApplied answers the proposer of a committed log entry. A table change is answered
// only once it has been applied everywhere, and routes, the departure of a server or a drain once
// the entries have confirmed them.
func (l *leader) onApplied(e consensus.Entry, cmd replicated.Command, result replicated.Result) {
	p, ours := l.proposers[e.Index]
	delete(l.proposers, e.Index)
	// Another leader may have committed its own entry at this index.
	ours = ours && p.term == e.Term
	switch cmd := cmd.(type) {
	case replicated.ChangeTable:
		l.onTableChange(p, ours, result)
		return
	case replicated.ReplaceRoutes:
		l.onRoutes(p, ours, cmd.Document.Version, result)
		return
	case replicated.SetDrain:
		l.onFleetChange()
		if ours && result.Err == nil {
			l.acks.addFleetChange(p, result)
			return
		}
	case replicated.SetFencing, replicated.QuarantineSegments, replicated.ReleaseSegments:
		l.onFleetChange()
	case replicated.RecordFleet:
		l.nextFleetRecord = time.Time{}
		if ours && p.vm != "" && result.Err == nil {
			l.acks.addDepartures(p, result, cmd.Servers)
			return
		}
	}
	l.orders.onApplied(cmd, result)
	if ours {
		l.answer(p, result)
	}
}

// onRoutes pushes the routes in force and answers the proposer of a document of the given
// version.
func (l *leader) onRoutes(p proposer, ours bool, version uint64, result replicated.Result) {
	if ours && result.Err == nil {
		l.acks.addRoutes(p, result, version)
	}
	// Before the answer: a lease that is granted later must not vouch for older routes.
	l.pushView()
	if ours && result.Err != nil {
		l.answer(p, result)
	}
	l.acks.request()
}

func (l *leader) onTableChange(p proposer, ours bool, result replicated.Result) {
	if result.Err != nil {
		if ours {
			l.answer(p, result)
		}
		return
	}
	if l.currentTable().Version < l.r.state.Table().Version {
		l.pushView()
	}
	if ours {
		l.pendingChanges = append(l.pendingChanges, pendingChange{version: result.Version, proposer: p, result: result})
	}
	l.answerAppliedChanges()
}

// answerAppliedChanges answers the table changes that every holder of a live lease
// has applied.
func (l *leader) answerAppliedChanges() {
	remaining := l.pendingChanges[:0]
	for _, change := range l.pendingChanges {
		if l.isAppliedEverywhere(change.version) {
			l.answer(change.proposer, change.result)
			continue
		}
		remaining = append(remaining, change)
	}
	l.pendingChanges = remaining
}

// isAppliedEverywhere reports whether every live lease is held by a process that has
// applied this table version or a later one. Leases granted by an earlier leader must
// have expired, because this leader may not know their holders.
func (l *leader) isAppliedEverywhere(version uint64) bool {
	if l.m.now.Before(l.earlierLeasesExpireAt()) && l.m.enforces(ruleAwaitEarlierLeases) {
		return false
	}
	for _, h := range l.holders {
		if h.tableVersion < version && l.m.now.Before(h.expiresAt) && l.m.enforces(ruleAwaitHolders) {
			return false
		}
	}
	return true
}

// earlierLeasesExpireAt returns when the leases granted by an earlier leader have
// expired.
func (l *leader) earlierLeasesExpireAt() time.Time {
	return l.establishedAt.Add(l.m.cfg.Timing.ViewLease)
}

func (l *leader) answer(p proposer, result replicated.Result) {
	if p.vm != "" {
		l.m.send(p.vm, Proposed{ID: p.id, Result: result})
	}
}
