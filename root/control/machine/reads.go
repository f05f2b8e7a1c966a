package machine

import "github.com/wagtaildyke/wagtaildyke/root/control/consensus"

// read answers a read of the routes once this leader is known to lead still.
func (l *leader) read(p proposer) {
	l.lastRead++
	l.reads[l.lastRead] = p
	l.r.core.Read(l.m.now, l.lastRead)
}

func (l *leader) readDone(res consensus.ReadResult) {
	p, known := l.reads[res.ID]
	if !known {
		return
	}
	delete(l.reads, res.ID)
	if res.Failed || l.r.applied < res.Index {
		l.m.send(p.vm, NotLeader{Proposal: p.id})
		return
	}
	l.answer(p, l.r.state.ReadRoutes())
}
