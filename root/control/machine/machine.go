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

// Machine is the control state of one process. It is not safe for concurrent use.
type Machine struct {
	cfg          Config
	now          time.Time
	started      time.Time
	effects      []Effect
	selfQueue    []Message
	leaseClient  *leaseClient
	proposals    *proposals
	issuer       *orderIssuer
	disabledRule safetyRule
	// replica is nil in a process that runs no consensus replica.
	replica *replica
}

// New returns the machine of a process that runs no consensus replica.
func New(cfg Config, now time.Time) *Machine {
	m := &Machine{cfg: cfg, now: now, started: now}
	m.leaseClient = newLeaseClient(m)
	m.proposals = newProposals(m)
	m.issuer = &orderIssuer{m: m, inProgress: map[string]uint64{}}
	return m
}

// NewReplica returns the machine of a process that runs a consensus replica.
func NewReplica(cfg Config, rc ReplicaConfig, now time.Time) (*Machine, error) {
	m := New(cfg, now)
	r, err := newReplica(m, rc)
	if err != nil {
		return nil, err
	}
	m.replica = r
	return m, nil
}

// Step handles one event and returns the effects in the order in which they must be
// executed.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	m.now = now
	m.effects = nil
	m.dispatch(ev)
	m.deliverToSelf()
	m.runTimers()
	m.deliverToSelf()
	return m.effects
}

func (m *Machine) dispatch(ev Event) {
	switch ev := ev.(type) {
	case Wake:
	case Received:
		m.receive(ev.From, ev.Message)
	case ReplicasChanged:
		m.cfg.Replicas = ev.VMs
	case Announced:
		m.leaseClient.onAnnounced(ev.Server)
	case Deregistered:
		m.leaseClient.onDeregistered(ev)
	case Submit:
		m.proposals.submit(ev.ID, m.leaseClient.identifyDepartures(ev.Command))
	case TrafficReport:
		m.leaseClient.onTraffic(ev)
	case SegmentReport:
		m.leaseClient.segments.observe(ev)
	case Persisted:
		m.replica.persisted(ev.Seq)
	case OrderDone:
		m.issuer.onOrderDone(ev)
	case SnapshotEncoded:
		m.replica.snapshotEncoded(ev)
	case ReadHistory:
		m.readHistory(ev.ID)
	case Stop:
		m.leaseClient.onStop(ev.Phase)
	}
}

func (m *Machine) receive(from string, msg Message) {
	switch msg := msg.(type) {
	case Renew:
		m.onRenew(from, msg)
	case Grant:
		m.leaseClient.onGrant(from, msg)
	case NotLeader:
		m.onNotLeader(from, msg)
	case Propose:
		m.onPropose(from, msg)
	case Proposed:
		m.proposals.onProposed(msg)
	case ConsensusMessage:
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
	m.leaseClient.onNotLeader(from, msg)
	if msg.Proposal != 0 {
		m.proposals.onNotLeader(msg.Proposal)
	}
}

func (m *Machine) readHistory(id uint64) {
	if m.replica == nil {
		m.emit(History{ID: id, Err: fault.New(fault.Unavailable, part, "this VM runs no replica; ask a VM that does").WithRan(fault.RanNo)})
		return
	}
	m.emit(History{ID: id, Records: m.replica.state.History()})
}

func (m *Machine) runTimers() {
	m.leaseClient.tick()
	m.proposals.tick()
	if m.replica != nil {
		m.replica.tick()
	}
}

// NextWake returns the time by which Step needs a Wake if no other event arrives
// first.
func (m *Machine) NextWake() time.Time {
	next := m.leaseClient.nextWake()
	next = earlier(next, m.proposals.nextWake())
	if m.replica != nil {
		next = earlier(next, m.replica.nextWake())
	}
	return next
}

// earlier returns the earlier of two times. The zero time means never.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || (!a.IsZero() && a.Before(b)) {
		return a
	}
	return b
}

// send queues a message to another process. A message to this process is delivered
// within the same step.
func (m *Machine) send(to string, msg Message) {
	if to == m.cfg.Self.ID {
		m.selfQueue = append(m.selfQueue, msg)
		return
	}
	m.emit(Send{To: to, Message: msg})
}

func (m *Machine) deliverToSelf() {
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

// sortedKeys gives map iterations that produce effects a deterministic order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// View returns the view that this process has applied.
func (m *Machine) View() *view.View { return m.leaseClient.current }
