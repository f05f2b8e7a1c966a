package machine

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// Message is a message between two processes of the system.
type Message interface{ message() }

// Renew asks the leader for a view lease and reports what the sender knows.
type Renew struct {
	VM fleet.VM
	// SentAt is the time since the sender's start; the Grant echoes it.
	SentAt time.Duration
	// ViewTerm and ViewSeq identify the view that the sender has applied.
	ViewTerm, ViewSeq uint64
	TableVersion      uint64
	// RoutesVersion is the version of the routes that the sender has applied; 0 for
	// none.
	RoutesVersion uint64
	// Heard are the backend servers that announced themselves to the sender and
	// that the leader has not confirmed.
	Heard []fleet.Announcement
	// Loads are the sender's own requests in flight per backend server, counted
	// after its traffic had switched to the view of LoadsTerm and LoadsSeq.
	Loads               []fleet.OwnLoad
	LoadsTerm, LoadsSeq uint64
	// Demands are the sender's demand per class.
	Demands []fleet.Demand
	// SegmentLosses are the engines that ended under the sender's requests, and
	// CompletedSegments the suspects with which a response has completed, both as far
	// as the leader has not confirmed them.
	SegmentLosses     []quarantine.Loss
	CompletedSegments []quarantine.Completion
	// FailedProbes are those that the leader has not confirmed, and ProbeRequests all probes
	// that the sender wants or is running. A granted probe that is not listed has ended.
	FailedProbes  []quarantine.FailedProbe
	ProbeRequests []quarantine.ProbeRequest
	// ServerDemands are the sender's demands for backend servers that have named a limit.
	ServerDemands []fleet.ServerDemand
	// Replica is the consensus identity of the sender; empty if it runs no replica.
	Replica consensus.ReplicaID
	// Stopped is set in the last Renew of a process that has drained.
	Stopped bool
}

// Grant extends a view lease, updates the view, or announces a new leader. Update
// is set when the receiver's view is not current.
type Grant struct {
	// Echo is the SentAt of the Renew. Lease is 0 in a Grant that answers no Renew.
	Echo  time.Duration
	Lease time.Duration
	Term  uint64
	// Seq is the sequence of the leader's current view. The lease is extended only if
	// the receiver has this view after applying Update.
	Seq    uint64
	Update *view.Update
	// Shares are the receiver's shares of each class's fleet-wide limits.
	Shares []fleet.Share
	// ServerShares are the receiver's shares of the limits of backend servers, for those
	// that it has reported a demand for.
	ServerShares []fleet.ServerShare
	// Left is set once every other holder of a live lease has applied a view in which
	// the receiver is leaving.
	Left bool
	// GrantedProbes are the ids of all of the receiver's probes that may run.
	GrantedProbes []uint64
	// Confirm asks the receiver to renew at once, after it has applied any Update.
	Confirm bool
}

// NotLeader rejects a Renew (Proposal is 0) or a Propose.
type NotLeader struct {
	// Leader is the VM believed to lead; empty if unknown.
	Leader   string
	Proposal uint64
}

// Propose asks the leader to commit a command.
type Propose struct {
	// ID is unique among all proposals of the VM, including those of earlier
	// incarnations, and a resend carries the same one. The leader recognizes a resend
	// by VM and ID.
	ID      uint64
	Command replicated.Command
}

// Proposed answers a Propose: a table change once every lease holder has applied it,
// an order once it is settled, a read once leadership is confirmed, routes, departures and
// drains once the entries in contact have confirmed them or EntryConfirmTimeout has passed,
// and any other command once it is applied. A rejected command is answered at once.
type Proposed struct {
	ID     uint64
	Result replicated.Result
}

// ConsensusMessage carries a message of the consensus core.
type ConsensusMessage struct{ consensus.Message }

func (Renew) message()            {}
func (Grant) message()            {}
func (NotLeader) message()        {}
func (Propose) message()          {}
func (Proposed) message()         {}
func (ConsensusMessage) message() {}

// Event is an input of the state machine.
type Event interface{ event() }

// Wake reports that the time returned by NextWake has come.
type Wake struct{}

// Received is a message from another process.
type Received struct {
	From    string
	Message Message
}

// ReplicasChanged replaces Config.Replicas after the settings have been reloaded.
type ReplicasChanged struct{ VMs []string }

// Announced is an announcement of a backend server to this process.
type Announced struct{ Server fleet.Server }

// Deregistered reports that a backend server is stopping. Incarnation 0 means the
// incarnation known to this process.
type Deregistered struct {
	Server      string
	Incarnation uint64
}

// Submit proposes a command. The Answer carries the same ID.
type Submit struct {
	ID      uint64
	Command replicated.Command
}

// TrafficReport holds this process's own traffic figures.
type TrafficReport struct {
	InFlight int
	// ViewTerm and ViewSeq identify a view that traffic had switched to before the
	// figures were taken.
	ViewTerm, ViewSeq uint64
	Loads             []fleet.OwnLoad
	Demands           []fleet.Demand
	ServerDemands     []fleet.ServerDemand
}

// SegmentReport holds what this process's requests have shown about prompt segments
// since the last report.
type SegmentReport struct {
	Losses []quarantine.Loss
	// Completed are the last completions of suspects of the view later than their Since.
	Completed []quarantine.Completion
	// FailedProbes are the probes whose engine ended. The report that contains one no longer
	// lists it in Probes.
	FailedProbes []quarantine.FailedProbe
	// Probes lists all probes that this process wants or is running, if ProbesChanged is
	// set; at most quarantine.MaxProbes.
	Probes        []quarantine.ProbeRequest
	ProbesChanged bool
}

// Persisted reports that the batch with this sequence number is durable.
type Persisted struct{ Seq uint64 }

// OrderDone reports the definite outcome of an order. The sender retries until
// there is one.
type OrderDone struct {
	Server string
	// Fence is the fencing token of the order that was sent or observed.
	Fence   uint64
	Applied bool
	// Observed describes the server's state for operators.
	Observed string
}

// SnapshotEncoded is the result of an EncodeSnapshot.
type SnapshotEncoded struct {
	Index uint64
	Data  []byte
	Err   error
}

// ReadHistory requests the table's history as applied by this replica.
type ReadHistory struct{ ID uint64 }

// Stop starts the graceful stop or moves it to the next phase.
type Stop struct{ Phase StopPhase }

func (Wake) event()            {}
func (Received) event()        {}
func (Announced) event()       {}
func (Deregistered) event()    {}
func (ReplicasChanged) event() {}
func (Submit) event()          {}
func (TrafficReport) event()   {}
func (SegmentReport) event()   {}
func (Persisted) event()       {}
func (OrderDone) event()       {}
func (Stop) event()            {}

func (ReadHistory) event()     {}
func (SnapshotEncoded) event() {}

// StopPhase is a phase of the graceful stop.
type StopPhase uint8

// The phases in order.
const (
	// StopLeaving removes the VM from the addresses given to callers and transfers
	// leadership. The VM still serves.
	StopLeaving StopPhase = iota
	// StopRefusing rejects new work.
	StopRefusing
	// StopDone tells the leader to forget the view lease, and transfers leadership if
	// this process leads again.
	StopDone
)

// Effect is an action that the state machine requests from its environment.
type Effect interface{ effect() }

// Persist asks storage to write a batch; Persisted reports its completion.
type Persist struct{ Batch consensus.WriteBatch }

// Send asks the peers package to send a message. Delivery is not guaranteed.
type Send struct {
	To      string
	Message Message
}

// Publish makes a view current for traffic.
type Publish struct{ View *view.View }

// SetShares passes traffic its shares of the fleet-wide limits.
type SetShares struct{ Shares []fleet.Share }

// SetServerShares passes traffic its shares of the limits of backend servers.
type SetServerShares struct{ Shares []fleet.ServerShare }

// GrantProbes passes traffic the ids of all of its probes that may run. The same id may be
// passed again.
type GrantProbes struct{ IDs []uint64 }

// Answer is the result of a Submit.
type Answer struct {
	ID     uint64
	Result replicated.Result
}

// IssueOrder asks the orders package to carry out an order. With Observe set, it
// only determines whether the order took effect, after raising the server's fencing
// token to Fence so that the order can't take effect later.
type IssueOrder struct {
	Server  fleet.Server
	Order   authority.Order
	Observe bool
	// Fence is the last fencing token assigned for the server.
	Fence uint64
}

// EncodeSnapshot requests the encoding of the state as of an index.
type EncodeSnapshot struct {
	Index uint64
	State replicated.Snapshot
}

// History answers a ReadHistory.
type History struct {
	ID      uint64
	Records []table.Record
	// Err is set by a process that runs no replica.
	Err *fault.Error
}

// LeadershipChanged reports a change of leadership at this replica, for the log.
type LeadershipChanged struct{ Change consensus.Change }

// MembersChanged reports a committed change of the members of the log, for the log of the
// process.
type MembersChanged struct {
	Index   uint64
	Members consensus.Members
}

// RoutesRead reports how this leader answered a read of the routes, for the log.
type RoutesRead struct {
	// Proposer is the VM that asked.
	Proposer string
	// Version is that of the routes, and Index the log index that the read had to reach.
	Version, Index, Term uint64
	// Waited is the time between the request and the answer.
	Waited time.Duration
}

// RoutesAcknowledged reports that this leader acknowledged a routing document, for the log.
type RoutesAcknowledged struct {
	// Proposer is the VM that passed the document on.
	Proposer string
	Version  uint64
	Term     uint64
	// Entries is the number of entries that were in contact with a leader, and Lacking are
	// those of them that have not reported this version or a later one.
	Entries int
	Lacking []string
	// Waited is the time since the document was proposed.
	Waited time.Duration
}

// Halt stops the process because the control state is corrupt or a snapshot of it
// failed.
type Halt struct{ Err *fault.Error }

func (Persist) effect()            {}
func (Send) effect()               {}
func (Publish) effect()            {}
func (SetShares) effect()          {}
func (SetServerShares) effect()    {}
func (GrantProbes) effect()        {}
func (Answer) effect()             {}
func (IssueOrder) effect()         {}
func (EncodeSnapshot) effect()     {}
func (History) effect()            {}
func (LeadershipChanged) effect()  {}
func (MembersChanged) effect()     {}
func (RoutesRead) effect()         {}
func (RoutesAcknowledged) effect() {}
func (Halt) effect()               {}
