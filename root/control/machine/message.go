package machine

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// Message is one message between two processes of the system.
type Message interface{ message() }

// Renew asks the leader for a view lease and reports what the sender knows.
type Renew struct {
	VM fleet.VM
	// SentAt is the sender's clock in nanoseconds since its start; the Grant echoes it.
	SentAt time.Duration
	// ViewTerm and ViewSeq name the view in force at the sender.
	ViewTerm, ViewSeq uint64
	TableVersion      uint64
	// RoutesVersion is the version of the routes in force at the sender; 0 for none.
	RoutesVersion uint64
	// Heard are the backend servers that announced themselves to the sender.
	Heard []fleet.Announcement
	// Loads are the sender's own requests in flight per backend server, counted
	// while the view with LoadsTerm and LoadsSeq was in force for traffic.
	Loads               []fleet.OwnLoad
	LoadsTerm, LoadsSeq uint64
	// Demands are the sender's demand per class.
	Demands []fleet.Demand
	// Replica is the consensus identity of the sender; empty without a replica part.
	Replica consensus.NodeID
	// Stopped is set in the last Renew of a process that has drained.
	Stopped bool
}

// Grant extends a view lease. Update is set when the receiver's view is not current.
type Grant struct {
	// Echo is SentAt of the Renew; Lease is 0 in a pushed view.
	Echo  time.Duration
	Lease time.Duration
	Term  uint64
	// Seq is the current view; a lease counts only once that view is in force.
	Seq    uint64
	Update *view.Update
	// Shares are the receiver's shares of each class's fleet-wide limits.
	Shares []fleet.Share
	// Left is set once every entry has a view in force in which the receiver leaves.
	Left bool
	// Confirm asks the receiver to renew at once after it has put Update in force.
	Confirm bool
}

// NotLeader refuses a Renew (Proposal 0) or a Propose.
type NotLeader struct {
	// Leader is the VM believed to lead; empty when unknown.
	Leader   string
	Proposal uint64
}

// Propose asks the leader to commit a command.
type Propose struct {
	// ID is unique per sender incarnation; a resend carries the same one.
	ID      uint64
	Command replicated.Command
}

// Proposed answers a Propose once the command is committed and, for a change
// of the table, in force everywhere.
type Proposed struct {
	ID     uint64
	Result replicated.Result
}

// Log carries one message of the consensus core.
type Log struct{ consensus.Message }

func (Renew) message()     {}
func (Grant) message()     {}
func (NotLeader) message() {}
func (Propose) message()   {}
func (Proposed) message()  {}
func (Log) message()       {}

// Event is one input of the control thread.
type Event interface{ event() }

// Wake reports that the time named by NextWake has come.
type Wake struct{}

// Received is a message from another process.
type Received struct {
	From    string
	Message Message
}

// Seeds names the VMs that are known from changed settings to run a replica.
type Seeds struct{ VMs []string }

// Announced is an announcement of a backend server to this process.
type Announced struct{ Server fleet.Server }

// Departed is the word of a backend server that it stops. Incarnation 0 means
// the one that is known here.
type Departed struct {
	Server      string
	Incarnation uint64
}

// Submit asks for a command to be committed; Answer carries the same ID.
type Submit struct {
	ID      uint64
	Command replicated.Command
}

// Traffic reports this process's own traffic.
type Traffic struct {
	InFlight int
	// ViewTerm and ViewSeq name a view in force for traffic before the count.
	ViewTerm, ViewSeq uint64
	Loads             []fleet.OwnLoad
	Demands           []fleet.Demand
}

// Persisted reports that the write with this sequence number is durable.
type Persisted struct{ Seq uint64 }

// OrderDone reports the definite outcome of an order. Until it is known, the
// sender keeps asking.
type OrderDone struct {
	Server string
	// Fence is the number of the order that was sent or observed.
	Fence   uint64
	Applied bool
	// Observed describes the server's state for operators.
	Observed string
}

// SnapshotEncoded brings the bytes that an EncodeSnapshot asked for.
type SnapshotEncoded struct {
	Index uint64
	Data  []byte
	Err   error
}

// ReadHistory asks for the table's history as this replica has applied it.
type ReadHistory struct{ ID uint64 }

// Stop begins or advances the graceful stop.
type Stop struct{ Phase StopPhase }

func (Wake) event()      {}
func (Received) event()  {}
func (Announced) event() {}
func (Departed) event()  {}
func (Seeds) event()     {}
func (Submit) event()    {}
func (Traffic) event()   {}
func (Persisted) event() {}
func (OrderDone) event() {}
func (Stop) event()      {}

func (ReadHistory) event()     {}
func (SnapshotEncoded) event() {}

// StopPhase is one step of the graceful stop.
type StopPhase uint8

// The phases in order.
const (
	// StopLeaving takes the VM out of the address answer; it still serves.
	StopLeaving StopPhase = iota
	// StopRefusing admits no new work.
	StopRefusing
	// StopDone gives up leases and leadership.
	StopDone
)

// Effect is one thing that the control thread asks its surroundings to do.
type Effect interface{ effect() }

// Persist asks storage to write; Persisted reports back.
type Persist struct{ Batch consensus.WriteBatch }

// Send asks the peers part to send; delivery is not assured.
type Send struct {
	To      string
	Message Message
}

// Publish makes a view current for traffic.
type Publish struct{ View *view.View }

// SetShares hands traffic its shares of the fleet-wide limits.
type SetShares struct{ Shares []fleet.Share }

// Answer completes a Submit.
type Answer struct {
	ID     uint64
	Result replicated.Result
}

// IssueOrder asks the orders part to carry out an order. With Observe set it
// only finds out whether the order took effect; the server's fencing number is
// raised to Number first, so that the order can't take effect later.
type IssueOrder struct {
	Server  fleet.Server
	Order   authority.Order
	Observe bool
	// Number is the fencing number to send.
	Number uint64
}

// EncodeSnapshot asks for the bytes of the state as of an index.
type EncodeSnapshot struct {
	Index uint64
	State replicated.Snapshot
}

// History answers a ReadHistory.
type History struct {
	ID      uint64
	Records []table.Record
	// Err is set in a process without a replica part.
	Err *fault.Error
}

// Halt stops the process: a durable invariant is broken.
type Halt struct{ Err *fault.Error }

func (Persist) effect()   {}
func (Send) effect()      {}
func (Publish) effect()   {}
func (SetShares) effect() {}
func (Answer) effect()    {}
func (Halt) effect()      {}

func (IssueOrder) effect()     {}
func (History) effect()        {}
func (EncodeSnapshot) effect() {}
