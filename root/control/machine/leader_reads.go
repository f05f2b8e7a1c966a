package machine

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
)

// pendingRead is a read of the routes that waits for the consensus core.
type pendingRead struct {
	proposer proposer
	since    time.Time
}

// readRoutes answers a linearizable read of the routes once the consensus core has
// confirmed that this replica still leads.
func (l *leader) readRoutes(p proposer) {
	l.lastReadID++
	l.reads[l.lastReadID] = pendingRead{proposer: p, since: l.m.now}
	l.r.core.Read(l.m.now, l.lastReadID)
}

func (l *leader) onReadReady(res consensus.ReadResult) {
	read, known := l.reads[res.ID]
	if !known {
		return
	}
	delete(l.reads, res.ID)
	p := read.proposer
	if res.Failed || l.r.appliedIndex < res.Index {
		l.m.send(p.vm, NotLeader{Proposal: p.id})
		return
	}
	result := l.r.state.ReadRoutes()
	l.m.emit(RoutesRead{Proposer: p.vm, Version: result.Version, Index: res.Index, Term: l.term, Waited: l.m.now.Sub(read.since)})
	l.answer(p, result)
}
