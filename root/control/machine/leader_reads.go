package machine

import "github.com/wagtaildyke/wagtaildyke/root/control/consensus"

// readRoutes answers a linearizable read of the routes once the consensus core has
// confirmed that this replica still leads.
func (l *leader) readRoutes(p proposer) {
	l.lastReadID++
	l.reads[l.lastReadID] = p
	l.r.core.Read(l.m.now, l.lastReadID)
}

func (l *leader) onReadReady(res consensus.ReadResult) {
	p, known := l.reads[res.ID]
	if !known {
		return
	}
	delete(l.reads, res.ID)
	if res.Failed || l.r.appliedIndex < res.Index {
		l.m.send(p.vm, NotLeader{Proposal: p.id})
		return
	}
	l.answer(p, l.r.state.ReadRoutes())
}
