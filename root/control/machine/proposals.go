package machine

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// proposals tracks this process's commands until they are answered. A command may
// be sent and committed more than once. The replicated state detects repeats of table
// changes, ledger commands and orders, and applies them once. Other commands, such as
// SetDrain, are applied again.
type proposals struct {
	m       *Machine
	pending map[uint64]*proposal
	// internalCount numbers the commands that the machine itself proposes.
	internalCount uint64
}

// internalIDBit separates the ids of internal commands from those of submitted
// ones.
const internalIDBit = 1 << 63

type proposal struct {
	command replicated.Command
	// done receives the result of an internal command; nil for a submitted one.
	done     func(replicated.Result)
	nextSend time.Time
	deadline time.Time
}

func newProposals(m *Machine) *proposals {
	return &proposals{m: m, pending: map[uint64]*proposal{}}
}

func (p *proposals) submit(id uint64, cmd replicated.Command) { p.add(id, cmd, nil) }

// propose sends a command of the machine itself to the leader and passes its result to
// done. The sum of incarnation and count must differ from those of earlier processes
// of the VM. It does so because incarnations are start times in nanoseconds;
// consecutive numbers would not suffice.
func (p *proposals) propose(cmd replicated.Command, done func(replicated.Result)) {
	p.internalCount++
	p.add(internalIDBit|(p.m.cfg.Self.Incarnation+p.internalCount), cmd, done)
}

func (p *proposals) add(id uint64, cmd replicated.Command, done func(replicated.Result)) {
	now := p.m.now
	p.pending[id] = &proposal{
		command:  cmd,
		done:     done,
		nextSend: now,
		deadline: now.Add(p.m.cfg.Timing.timeout(cmd)),
	}
	p.send(id)
}

func (p *proposals) send(id uint64) {
	pr := p.pending[id]
	pr.nextSend = p.m.now.Add(p.m.cfg.Timing.ProposeRetryInterval)
	if leader := p.m.leaseClient.leader; leader != "" {
		p.m.send(leader, Propose{ID: id, Command: pr.command})
	}
}

func (p *proposals) onProposed(msg Proposed) {
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

// onNotLeader resends a proposal sooner, because the process asked was not the
// leader.
func (p *proposals) onNotLeader(id uint64) {
	if pr := p.pending[id]; pr != nil {
		pr.nextSend = earlier(pr.nextSend, p.m.now.Add(p.m.cfg.Timing.ProposeRetryInterval/8))
	}
}

func (p *proposals) tick() {
	for _, id := range sortedKeys(p.pending) {
		pr := p.pending[id]
		switch {
		case !p.m.now.Before(pr.deadline):
			p.finish(id, replicated.Result{Err: answerTimeout()})
		case !p.m.now.Before(pr.nextSend):
			p.send(id)
		}
	}
}

func answerTimeout() *fault.Error {
	return fault.New(fault.NoQuorum, part, "timed out waiting for an answer from the leader").WithRan(fault.RanUnknown)
}

func (p *proposals) nextWake() time.Time {
	var next time.Time
	for _, pr := range p.pending {
		next = earlier(next, pr.nextSend)
		next = earlier(next, pr.deadline)
	}
	return next
}
