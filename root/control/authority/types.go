package authority

import (
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

const part = "control/authority"

// Limits on request fields and on the size of the state.
const (
	// MaxIDBytes limits the id of a server or VM.
	MaxIDBytes = 128
	// MaxNameBytes limits a model, adapter or version name.
	MaxNameBytes = 256
	// MaxTextBytes limits an observed state, an operator and a statement.
	MaxTextBytes = 512
	// MaxServers limits the number of servers with a record.
	MaxServers = 8192
	// MaxVMs limits the number of VMs with a recorded dead incarnation, and of
	// the running processes listed in one request.
	MaxVMs = 4096
	// MaxFormerHolders limits the former holders of one server that may still be alive.
	MaxFormerHolders = 32
	// MaxConfirmations limits the operator confirmations that are kept.
	MaxConfirmations = 64
)

// Holder identifies one run of the process on a VM.
type Holder struct {
	VM string
	// Incarnation increases with each start of the process.
	Incarnation uint64
}

// ActionKind says what an order changes on a backend server.
type ActionKind uint8

// The kinds of action.
const (
	LoadModel ActionKind = iota + 1
	LoadAdapter
	LoadVersion
	ChangeRole
	numActionKinds
)

// Action is the change that an order makes on the backend server.
type Action struct {
	Kind ActionKind
	// Model is set for LoadModel, LoadAdapter and LoadVersion.
	Model string
	// Adapter is set for LoadAdapter.
	Adapter string
	// Version is set for LoadVersion.
	Version string
	// Role is set for ChangeRole.
	Role fleet.Role
}

// OrderState is the state of a server's last order.
type OrderState uint8

// The states of an order.
const (
	// NoOrder means that no order was recorded for the server yet.
	NoOrder OrderState = iota
	// Issued orders may have been sent and may take effect at any moment.
	Issued
	// OutcomeUnknown orders were sent without a definite answer and may still take
	// effect. The holder must read the server's state to learn the outcome.
	OutcomeUnknown
	// Succeeded orders have taken effect.
	Succeeded
	// Failed orders have not taken effect and can't any more.
	Failed
	numOrderStates
)

// Settled reports whether the next order may be recorded.
func (s OrderState) Settled() bool { return s != Issued && s != OutcomeUnknown }

// Order is the last order of a server.
type Order struct {
	// Fence is the fencing token that the order carries.
	Fence uint64
	// After is the RecordOrder.After of the request that recorded the order.
	After  uint64
	Holder Holder
	Action Action
	State  OrderState
	// Observed is the server's state as the holder saw it on settling the order.
	Observed string
}

// Acquire requests the lock of a server.
type Acquire struct {
	Server string
	Holder Holder
	// Running lists the newest known incarnation of each VM. Earlier ones are
	// dead.
	Running []Holder
	// At is the time of the command in Unix milliseconds. The operation doesn't use
	// it.
	At int64
}

// Release gives up the lock of a server. The holder must not send any more
// orders under it.
type Release struct {
	Server string
	Holder Holder
	// At is the time of the command in Unix milliseconds. The operation doesn't use
	// it.
	At int64
}

// ConfirmDead is an operator's confirmation that a process has ended and that
// none of its orders is still in flight.
type ConfirmDead struct {
	// Server limits the confirmation to one server; empty means all of them.
	Server string
	VM     string
	// Incarnation is the newest dead one; earlier ones are dead as well.
	Incarnation uint64
	// Operator is who confirmed it, and Statement what they checked.
	Operator  string
	Statement string
	// At is when the confirmation was recorded, in Unix milliseconds. The operation
	// stores it without reading it.
	At int64
}

// RecordOrder records a new order and requests its fencing token.
type RecordOrder struct {
	Server string
	Holder Holder
	// After is the last fencing token that the holder got for the server from
	// Acquire or RecordOrder. It identifies retries of the same request.
	After  uint64
	Action Action
	// Proposals are the requests that the order serves.
	Proposals []Proposal
	// At is the time of the command in Unix milliseconds.
	At int64
}

// SettleOrder reports the outcome of the last order of a server.
type SettleOrder struct {
	Server string
	// Holder is the current holder, which may differ from the one that issued the
	// order.
	Holder Holder
	// Fence is the fencing token of the order.
	Fence uint64
	// Outcome is Succeeded, Failed or OutcomeUnknown.
	Outcome OrderState
	// Observed describes the server's state for operators.
	Observed string
	// Proposals are requests that the order serves, beside those of its RecordOrder.
	Proposals []Proposal
	// At is the time of the command in Unix milliseconds.
	At int64
}

// Result holds the state of a server's lock and last order after an operation.
type Result struct {
	// Fence is the token of the order for RecordOrder and SettleOrder, and
	// otherwise the last token issued for the server; 0 if the operation is for all
	// servers or the server has no record.
	Fence uint64
	// Holder holds the lock after the operation; zero if it is free.
	Holder Holder
	// Order is the last order of the server.
	Order Order
	// Repeated is set if Acquire, Release, RecordOrder or SettleOrder found its
	// effect in place already.
	Repeated bool
}

// Server is the lock record of one backend server.
type Server struct {
	ID string
	// Holder holds the lock; zero if it is free.
	Holder Holder
	// Fence is the last fencing token issued.
	Fence uint64
	// FormerHolders were replaced without a release and may still be alive.
	FormerHolders []Holder
	Order         Order
}

// Confirmation is a stored operator confirmation.
type Confirmation = ConfirmDead
