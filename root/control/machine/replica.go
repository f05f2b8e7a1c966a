package machine

import (
	"strings"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// replica drives the consensus core and the replicated state. While it leads,
// it has a leader.
type replica struct {
	m     *Machine
	id    consensus.NodeID
	core  *consensus.Core
	codec Codec
	state *replicated.State
	// applied is the index of the last entry in state; compacted the last snapshot's.
	applied, compacted uint64
	// encoding is set while a snapshot is being encoded.
	encoding bool
	leader   *leader
}

func newReplica(m *Machine, rc ReplicaConfig) (*replica, error) {
	core, err := consensus.New(rc.Consensus, rc.Restored, rc.Bootstrap)
	if err != nil {
		return nil, err
	}
	return &replica{m: m, id: rc.Consensus.ID, core: core, codec: rc.Codec, state: replicated.New()}, nil
}

// VMOf returns the VM that a replica identity belongs to.
func VMOf(id consensus.NodeID) string {
	vm, _, _ := strings.Cut(string(id), "/")
	return vm
}

// restore replaces the state. The snapshot at index 0 holds the first members only.
func (r *replica) restore(snap *consensus.Snapshot) error {
	if snap.Index == 0 {
		return nil
	}
	typed, err := r.codec.DecodeSnapshot(snap.Data)
	if err != nil {
		return err
	}
	state, err := replicated.Restore(typed)
	if err != nil {
		return err
	}
	r.state = state
	r.applied = snap.Index
	r.compacted = snap.Index
	return nil
}

func (r *replica) receive(msg consensus.Message) {
	r.core.Receive(r.m.now, msg)
	r.drain()
}

func (r *replica) persisted(seq uint64) {
	r.core.Persisted(r.m.now, seq)
	r.drain()
}

func (r *replica) tick() {
	r.core.Tick(r.m.now)
	r.drain()
	if r.leader != nil {
		r.leader.tick()
		r.drain()
	}
}

func (r *replica) nextWake() time.Time {
	next := r.core.NextWake()
	if r.leader != nil {
		next = earlier(next, r.leader.nextWake())
	}
	return next
}

// drain carries out what the core asks for until it asks for nothing more.
func (r *replica) drain() {
	for r.drainOnce() {
	}
	r.followLeadership()
}

func (r *replica) drainOnce() bool {
	out := r.core.Output()
	if out.Persist != nil {
		r.m.emit(Persist{Batch: *out.Persist})
	}
	for _, msg := range out.Messages {
		r.m.send(VMOf(msg.To), Log{Message: msg})
	}
	if out.Restore != nil {
		if err := r.restore(out.Restore); err != nil {
			r.m.emit(Halt{Err: fault.From(err)})
			return false
		}
	}
	for _, e := range out.Committed {
		if !r.apply(e) {
			return false
		}
	}
	for _, read := range out.Reads {
		if r.leader != nil {
			r.leader.readDone(read)
		}
	}
	r.compact()
	return out.Persist != nil || len(out.Committed) > 0 || len(out.Messages) > 0
}

func (r *replica) apply(e consensus.Entry) bool {
	r.applied = e.Index
	if e.Kind != consensus.EntryCommand {
		return true
	}
	cmd, err := r.codec.DecodeCommand(e.Data)
	if err != nil {
		r.m.halt(fault.Corrupt, "log entry %d can't be decoded: %v", e.Index, err)
		return false
	}
	result := r.state.Apply(e.Index, cmd)
	if r.leader != nil {
		r.leader.applied(e, cmd, result)
	}
	return true
}

// compact asks for the bytes of a snapshot once enough entries were applied.
func (r *replica) compact() {
	every := r.m.cfg.CompactEvery
	if every == 0 || r.encoding || r.applied-r.compacted < every {
		return
	}
	r.encoding = true
	r.m.emit(EncodeSnapshot{Index: r.applied, State: r.state.Snapshot()})
}

// snapshotEncoded hands the snapshot to the core, unless a later one was
// restored meanwhile.
func (r *replica) snapshotEncoded(ev SnapshotEncoded) {
	r.encoding = false
	if ev.Err != nil {
		r.m.halt(fault.Internal, "snapshot at %d can't be encoded: %v", ev.Index, ev.Err)
		return
	}
	if ev.Index <= r.compacted {
		return
	}
	if err := r.core.Compact(ev.Index, ev.Data); err != nil {
		r.m.emit(Halt{Err: fault.From(err)})
		return
	}
	r.compacted = ev.Index
	r.drain()
}

// followLeadership starts and ends the leader's work. A leader acts only once
// it has committed an entry of its own term.
func (r *replica) followLeadership() {
	st := r.core.Status()
	leads := st.IsLeader && st.CommittedInTerm
	switch {
	case leads && (r.leader == nil || r.leader.term != st.Term):
		r.leader = newLeader(r, st.Term)
	case !leads:
		r.leader = nil
	}
}

// leaderVM returns the VM believed to lead; empty when unknown.
func (r *replica) leaderVM() string {
	st := r.core.Status()
	if st.IsLeader && r.leader == nil {
		return ""
	}
	return VMOf(st.Leader)
}

// active returns the leader while it holds its lease, and nil otherwise.
func (r *replica) active() *leader {
	if r.leader == nil {
		return nil
	}
	if !r.m.now.Before(r.core.Status().LeaseUntil) && r.m.keeps(ruleLeaderLease) {
		return nil
	}
	return r.leader
}

func (r *replica) onRenew(from string, msg Renew) {
	l := r.active()
	if l == nil {
		r.m.send(from, NotLeader{Leader: r.otherLeader()})
		return
	}
	l.renewed(from, msg)
	r.drain()
}

func (r *replica) onPropose(from string, msg Propose) {
	l := r.active()
	if l == nil {
		r.m.send(from, NotLeader{Leader: r.otherLeader(), Proposal: msg.ID})
		return
	}
	l.propose(from, msg)
	r.drain()
}

// otherLeader names another VM that leads, never this one.
func (r *replica) otherLeader() string {
	if vm := r.leaderVM(); vm != r.m.cfg.Self.ID {
		return vm
	}
	return ""
}

// handOver gives up leadership to the most advanced voter, if there is one to
// a VM that goes on taking work.
func (r *replica) handOver() {
	st := r.core.Status()
	if !st.IsLeader {
		return
	}
	best, bestActive := consensus.NodeID(""), false
	for _, id := range st.Members.Voters {
		active := r.isActive(VMOf(id))
		ahead := best == "" || (active && !bestActive) || (active == bestActive && st.Match[id] > st.Match[best])
		if id != r.id && ahead {
			best, bestActive = id, active
		}
	}
	if best == "" {
		return
	}
	// A transfer refused here only means that the others elect after a timeout.
	_ = r.core.TransferLeadership(r.m.now, best)
	r.drain()
}

// isActive reports whether a VM is known to go on taking work.
func (r *replica) isActive(vm string) bool {
	if r.leader == nil {
		return false
	}
	known, ok := r.leader.fleet.VM(vm)
	return ok && known.State == fleet.Active
}
