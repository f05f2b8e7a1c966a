package machine

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// proposals holds this process's submitted commands until they are answered.
// A command may be sent more than once; each carries its own id, so that the
// replicated state applies it once.
type proposals struct {
	m       *Machine
	pending map[uint64]*proposal
}

type proposal struct {
	command  replicated.Command
	nextSend time.Time
	deadline time.Time
}

func newProposals(m *Machine) *proposals {
	return &proposals{m: m, pending: map[uint64]*proposal{}}
}

func (p *proposals) submit(ev Submit) {
	now := p.m.now
	p.pending[ev.ID] = &proposal{
		command:  ev.Command,
		nextSend: now,
		deadline: now.Add(p.m.cfg.Timing.ProposeTimeout),
	}
	p.sendOne(ev.ID)
}

func (p *proposals) sendOne(id uint64) {
	pr := p.pending[id]
	pr.nextSend = p.m.now.Add(p.m.cfg.Timing.ProposeRetry)
	if leader := p.m.member.leader; leader != "" {
		p.m.send(leader, Propose{ID: id, Command: pr.command})
	}
}

func (p *proposals) answered(msg Proposed) {
	if _, ok := p.pending[msg.ID]; !ok {
		return
	}
	delete(p.pending, msg.ID)
	p.m.emit(Answer(msg))
}

// refused schedules a quick resend: the process asked was not the leader.
func (p *proposals) refused(id uint64) {
	if pr := p.pending[id]; pr != nil {
		pr.nextSend = earlier(pr.nextSend, p.m.now.Add(p.m.cfg.Timing.ProposeRetry/8))
	}
}

func (p *proposals) tick() {
	for id, pr := range p.pending {
		switch {
		case !p.m.now.Before(pr.deadline):
			delete(p.pending, id)
			p.m.emit(Answer{ID: id, Result: replicated.Result{Err: noQuorum()}})
		case !p.m.now.Before(pr.nextSend):
			p.sendOne(id)
		}
	}
}

func noQuorum() *fault.Error {
	return fault.New(fault.NoQuorum, part, "no leader with a quorum answered in time").WithRan(fault.RanUnknown)
}

func (p *proposals) nextWake() time.Time {
	var next time.Time
	for _, pr := range p.pending {
		next = earlier(next, pr.nextSend)
		next = earlier(next, pr.deadline)
	}
	return next
}
