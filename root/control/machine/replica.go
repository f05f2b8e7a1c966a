package machine

import (
	"strings"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// replica drives the consensus core and applies committed entries to the replicated
// state. leader is set only while this replica leads.
type replica struct {
	m     *Machine
	id    consensus.ReplicaID
	core  *consensus.Core
	codec Codec
	state *replicated.State
	// appliedIndex is the index of the last log entry applied to state,
	// compactedIndex that of the last snapshot.
	appliedIndex, compactedIndex uint64
	// encodingSnapshot is set while a snapshot is being encoded.
	encodingSnapshot bool
	leader           *leader
}

func newReplica(m *Machine, rc ReplicaConfig) (*replica, error) {
	core, err := consensus.New(rc.Consensus, rc.Restored, rc.Bootstrap)
	if err != nil {
		return nil, err
	}
	return &replica{m: m, id: rc.Consensus.ID, core: core, codec: rc.Codec, state: replicated.New()}, nil
}

// VMOf returns the VM of a replica identity, the part before the slash.
func VMOf(id consensus.ReplicaID) string {
	vm, _, _ := strings.Cut(string(id), "/")
	return vm
}

// restore replaces the state with a snapshot. The bootstrap snapshot at index 0
// carries only the initial members and leaves the state empty.
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
	r.appliedIndex = snap.Index
	r.compactedIndex = snap.Index
	return nil
}

func (r *replica) receive(msg consensus.Message) {
	r.core.Receive(r.m.now, msg)
	r.processOutput()
}

func (r *replica) persisted(seq uint64) {
	r.core.Persisted(r.m.now, seq)
	r.processOutput()
}

func (r *replica) tick() {
	r.core.Tick(r.m.now)
	r.processOutput()
	if r.leader != nil {
		r.leader.tick()
		r.processOutput()
	}
}

func (r *replica) nextWake() time.Time {
	// The core returns the zero time, which earlier ignores, until the first Step.
	// The first Renew is due at once, so that Step does not wait for the core.
	next := r.core.NextWake()
	if r.leader != nil {
		next = earlier(next, r.leader.nextWake())
	}
	return next
}

// processOutput executes the output of the consensus core until there is none left.
func (r *replica) processOutput() {
	for r.processOutputOnce() {
	}
	r.updateLeadership()
}

func (r *replica) processOutputOnce() bool {
	out := r.core.Output()
	if out.Persist != nil {
		r.m.emit(Persist{Batch: *out.Persist})
	}
	for _, msg := range out.Messages {
		r.m.send(VMOf(msg.To), ConsensusMessage{Message: msg})
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
			r.leader.onReadReady(read)
		}
	}
	for _, change := range out.Changes {
		r.m.emit(LeadershipChanged{Change: change})
	}
	r.compact()
	return out.Persist != nil || len(out.Committed) > 0 || len(out.Messages) > 0
}

func (r *replica) apply(e consensus.Entry) bool {
	r.appliedIndex = e.Index
	if e.Kind == consensus.EntryMembers {
		r.m.emit(MembersChanged{Index: e.Index, Members: e.Members})
		if r.leader != nil {
			r.leader.promoteLearners()
		}
	}
	if e.Kind != consensus.EntryCommand {
		return true
	}
	cmd, err := r.codec.DecodeCommand(e.Data)
	if err != nil {
		r.m.halt(fault.Corrupt, "cannot decode log entry %d: %v", e.Index, err)
		return false
	}
	result := r.state.Apply(e.Index, cmd)
	if r.leader != nil {
		r.leader.onApplied(e, cmd, result)
	}
	return true
}

// compact requests an encoded snapshot once CompactEvery entries have been applied
// since the last one.
func (r *replica) compact() {
	every := r.m.cfg.CompactEvery
	if every == 0 || r.encodingSnapshot || r.appliedIndex-r.compactedIndex < every {
		return
	}
	r.encodingSnapshot = true
	r.m.emit(EncodeSnapshot{Index: r.appliedIndex, State: r.state.Snapshot()})
}

// snapshotEncoded passes an encoded snapshot to the core, unless a later one has
// been restored in the meantime.
func (r *replica) snapshotEncoded(ev SnapshotEncoded) {
	r.encodingSnapshot = false
	if ev.Err != nil {
		r.m.halt(fault.Internal, "cannot encode the snapshot at index %d: %v", ev.Index, ev.Err)
		return
	}
	if ev.Index <= r.compactedIndex {
		return
	}
	if err := r.core.Compact(ev.Index, ev.Data); err != nil {
		r.m.emit(Halt{Err: fault.From(err)})
		return
	}
	r.compactedIndex = ev.Index
	r.processOutput()
}

// updateLeadership creates and drops the leader state. A replica acts as leader only
// after it has committed a log entry of its own term.
func (r *replica) updateLeadership() {
	st := r.core.Status()
	leads := st.IsLeader && st.CommittedInTerm
	switch {
	case leads && (r.leader == nil || r.leader.term != st.Term):
		r.leader = newLeader(r, st.Term)
	case !leads:
		r.leader = nil
	}
}

// leaderVM returns the VM believed to lead, or "" if unknown.
func (r *replica) leaderVM() string {
	st := r.core.Status()
	if st.IsLeader && r.leader == nil {
		return ""
	}
	return VMOf(st.Leader)
}

// activeLeader returns the leader state while this replica leads and its leader
// lease is valid, and nil otherwise.
func (r *replica) activeLeader() *leader {
	if r.leader == nil {
		return nil
	}
	if !r.m.now.Before(r.core.Status().LeaseUntil) && r.m.enforces(ruleLeaderLease) {
		return nil
	}
	return r.leader
}

func (r *replica) onRenew(from string, msg Renew) {
	l := r.activeLeader()
	if l == nil {
		r.m.send(from, NotLeader{Leader: r.leaderHint()})
		return
	}
	l.onRenew(from, msg)
	r.processOutput()
}

func (r *replica) onPropose(from string, msg Propose) {
	l := r.activeLeader()
	if l == nil {
		r.m.send(from, NotLeader{Leader: r.leaderHint(), Proposal: msg.ID})
		return
	}
	l.onPropose(from, msg)
	r.processOutput()
}

// leaderHint returns the VM to redirect a request to. It never returns this VM.
func (r *replica) leaderHint() string {
	if vm := r.leaderVM(); vm != r.m.cfg.Self.ID {
		return vm
	}
	return ""
}

// transferLeadership starts a transfer to the most up-to-date voter, preferring VMs
// that the leader knows as active.
func (r *replica) transferLeadership() {
	st := r.core.Status()
	if !st.IsLeader {
		return
	}
	target, targetActive := consensus.ReplicaID(""), false
	for _, id := range st.Members.Voters {
		active := r.isActiveVM(VMOf(id))
		preferred := target == "" || (active && !targetActive) || (active == targetActive && st.Match[id] > st.Match[target])
		if id != r.id && preferred {
			target, targetActive = id, active
		}
	}
	if target == "" {
		return
	}
	// If the transfer is refused, the other replicas elect a leader after their
	// election timeout, once this process has ended.
	_ = r.core.TransferLeadership(r.m.now, target)
	r.processOutput()
}

// isActiveVM reports whether the leader knows a VM as active.
func (r *replica) isActiveVM(vm string) bool {
	if r.leader == nil {
		return false
	}
	known, ok := r.leader.fleet.VM(vm)
	return ok && known.State == fleet.Active
}
