// Package machine steps the control state of one process: events in, effects
// out. It is pure: no I/O, no clock, no goroutine. The loop is its only caller.
package machine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

const part = "control/machine"

// Machine is the control state of one process.
type Machine struct {
	cfg       Config
	now       time.Time
	started   time.Time
	effects   []Effect
	selfQueue []Message
	member    *member
	proposals *proposals
	holder    *holder
	broken    rule
	// replica is nil in a process without a replica part.
	replica *replica
}

// New returns the machine of a process without a replica part.
func New(cfg Config, now time.Time) *Machine {
	m := &Machine{cfg: cfg, now: now, started: now}
	m.member = newMember(m)
	m.proposals = newProposals(m)
	m.holder = &holder{m: m, sending: map[string]uint64{}}
	return m
}

// NewReplica returns the machine of a process with a replica part.
func NewReplica(cfg Config, rc ReplicaConfig, now time.Time) (*Machine, error) {
	m := New(cfg, now)
	r, err := newReplica(m, rc)
	if err != nil {
		return nil, err
	}
	m.replica = r
	return m, nil
}

// Step takes one event and returns the effects in the order to carry them out.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	m.now = now
	m.effects = nil
	m.dispatch(ev)
	m.drainSelf()
	m.runTimers()
	m.drainSelf()
	return m.effects
}

func (m *Machine) dispatch(ev Event) {
	switch ev := ev.(type) {
	case Wake:
	case Received:
		m.receive(ev.From, ev.Message)
	case Seeds:
		m.cfg.Replicas = ev.VMs
	case Announced:
		m.member.announced(ev.Server)
	case Departed:
		m.member.departed(ev)
	case Submit:
		m.proposals.submit(ev)
	case Traffic:
		m.member.traffic(ev)
	case Persisted:
		m.replica.persisted(ev.Seq)
	case OrderDone:
		m.holder.done(ev)
	case SnapshotEncoded:
		m.replica.snapshotEncoded(ev)
	case ReadHistory:
		m.readHistory(ev.ID)
	case Stop:
		m.member.stop(ev.Phase)
	}
}

func (m *Machine) receive(from string, msg Message) {
	switch msg := msg.(type) {
	case Renew:
		m.onRenew(from, msg)
	case Grant:
		m.member.grant(from, msg)
	case NotLeader:
		m.onNotLeader(from, msg)
	case Propose:
		m.onPropose(from, msg)
	case Proposed:
		m.proposals.answered(msg)
	case Log:
		if m.replica != nil {
			m.replica.receive(msg.Message)
		}
	}
}

func (m *Machine) onRenew(from string, msg Renew) {
	if m.replica == nil {
		m.send(from, NotLeader{})
		return
	}
	m.replica.onRenew(from, msg)
}

func (m *Machine) onPropose(from string, msg Propose) {
	if m.replica == nil {
		m.send(from, NotLeader{Proposal: msg.ID})
		return
	}
	m.replica.onPropose(from, msg)
}

func (m *Machine) onNotLeader(from string, msg NotLeader) {
	m.member.notLeader(from, msg)
	if msg.Proposal != 0 {
		m.proposals.refused(msg.Proposal)
	}
}

func (m *Machine) readHistory(id uint64) {
	if m.replica == nil {
		m.emit(History{ID: id, Err: fault.New(fault.Unavailable, part, "this VM has no replica; ask one that has").WithRan(fault.RanNo)})
		return
	}
	m.emit(History{ID: id, Records: m.replica.state.History()})
}

func (m *Machine) runTimers() {
	m.member.tick()
	m.proposals.tick()
	if m.replica != nil {
		m.replica.tick()
	}
}

// NextWake returns when Step wants a Wake if no other event comes first.
func (m *Machine) NextWake() time.Time {
	next := m.member.nextWake()
	next = earlier(next, m.proposals.nextWake())
	if m.replica != nil {
		next = earlier(next, m.replica.nextWake())
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.IsZero() || (!a.IsZero() && a.Before(b)) {
		return a
	}
	return b
}

// send delivers to this process itself within the same step.
func (m *Machine) send(to string, msg Message) {
	if to == m.cfg.Self.ID {
		m.selfQueue = append(m.selfQueue, msg)
		return
	}
	m.emit(Send{To: to, Message: msg})
}

func (m *Machine) drainSelf() {
	for len(m.selfQueue) > 0 {
		msg := m.selfQueue[0]
		m.selfQueue = m.selfQueue[1:]
		m.receive(m.cfg.Self.ID, msg)
	}
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) halt(kind fault.Kind, format string, args ...any) {
	m.emit(Halt{Err: fault.New(kind, part, format, args...)})
}

// sortedKeys makes the order of effects the same in every run.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// View returns the view in force at this process.
func (m *Machine) View() *view.View { return m.member.current }
