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
	// own counts commands of this process's own.
	own uint64
}

// ownBit keeps the ids of own commands apart from those of submitted ones.
const ownBit = 1 << 63

type proposal struct {
	command replicated.Command
	// done takes the result of a command of this process's own; nil for one submitted.
	done     func(replicated.Result)
	nextSend time.Time
	deadline time.Time
}

func newProposals(m *Machine) *proposals {
	return &proposals{m: m, pending: map[uint64]*proposal{}}
}

func (p *proposals) submit(ev Submit) { p.start(ev.ID, ev.Command, nil) }

// propose commits a command of this process's own.
func (p *proposals) propose(cmd replicated.Command, done func(replicated.Result)) {
	p.own++
	p.start(ownBit|(p.m.cfg.Self.Incarnation+p.own), cmd, done)
}

func (p *proposals) start(id uint64, cmd replicated.Command, done func(replicated.Result)) {
	now := p.m.now
	p.pending[id] = &proposal{
		command:  cmd,
		done:     done,
		nextSend: now,
		deadline: now.Add(p.m.cfg.Timing.timeout(cmd)),
	}
	p.sendOne(id)
}

func (p *proposals) sendOne(id uint64) {
	pr := p.pending[id]
	pr.nextSend = p.m.now.Add(p.m.cfg.Timing.ProposeRetry)
	if leader := p.m.member.leader; leader != "" {
		p.m.send(leader, Propose{ID: id, Command: pr.command})
	}
}

func (p *proposals) answered(msg Proposed) {
	p.finish(msg.ID, msg.Result)
}

func (p *proposals) finish(id uint64, result replicated.Result) {
	pr := p.pending[id]
	if pr == nil {
		return
	}
	delete(p.pending, id)
	if pr.done != nil {
		pr.done(result)
		return
	}
	p.m.emit(Answer{ID: id, Result: result})
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
			p.finish(id, replicated.Result{Err: noQuorum()})
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
