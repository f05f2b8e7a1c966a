package authority

import (
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

const part = "control/authority"

// Bounds on the fields of an operation and on what is kept.
const (
	// MaxIDBytes bounds the id of a server or VM.
	MaxIDBytes = 128
	// MaxNameBytes bounds a model, adapter or version name.
	MaxNameBytes = 256
	// MaxTextBytes bounds an observed state, an operator and a statement.
	MaxTextBytes = 512
	// MaxServers bounds the servers with a record.
	MaxServers = 8192
	// MaxVMs bounds the VMs whose dead incarnations are remembered, and the list
	// of running processes in one operation.
	MaxVMs = 4096
	// MaxFormer bounds the former holders of one server that may still be alive.
	MaxFormer = 32
	// MaxConfirmations bounds the operators' confirmations kept for reading.
	MaxConfirmations = 64
)

// Holder is one process lifetime on one VM.
type Holder struct {
	VM string
	// Incarnation grows with each start of the process.
	Incarnation uint64
}

// ActionKind says what an order does.
type ActionKind uint8

// The kinds of action.
const (
	LoadModel ActionKind = iota + 1
	LoadAdapter
	LoadVersion
	ChangeRole
	actionKinds
)

// Action is what an order makes the backend server do.
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

// OrderState says where an order stands.
type OrderState uint8

// The states of the last order of a server.
const (
	// NoOrder means that the server never got one.
	NoOrder OrderState = iota
	// Issued orders may take effect at any moment.
	Issued
	// OutcomeUnknown orders were sent, and their outcome must be observed.
	OutcomeUnknown
	// Succeeded orders have taken effect.
	Succeeded
	// Failed orders have not taken effect and never will.
	Failed
	orderStates
)

// Settled reports whether another order may follow.
func (s OrderState) Settled() bool { return s != Issued && s != OutcomeUnknown }

// Order is the last order of a server.
type Order struct {
	// Fence is the fencing number that the order carries.
	Fence uint64
	// After is the number that the holder named when it recorded the order.
	After  uint64
	Holder Holder
	Action Action
	State  OrderState
	// Observed is what the holder saw when it settled the order.
	Observed string
}

// Acquire asks for the right to issue orders to a server.
type Acquire struct {
	Server string
	Holder Holder
	// Running lists the newest process known per VM. An earlier incarnation of
	// the same VM is dead.
	Running []Holder
	// At is Unix milliseconds.
	At int64
}

// Release gives the right up. The holder must send nothing more on its strength.
type Release struct {
	Server string
	Holder Holder
	// At is Unix milliseconds.
	At int64
}

// ConfirmDead carries an operator's statement that a process has ended and
// nothing that it sent is still under way.
type ConfirmDead struct {
	// Server limits the confirmation to one server; empty means all of them.
	Server string
	VM     string
	// Incarnation is the newest dead one; earlier ones are dead as well.
	Incarnation uint64
	// Operator is who says it and Statement what was checked.
	Operator  string
	Statement string
	// At is Unix milliseconds.
	At int64
}

// RecordOrder asks for the fencing number of a new order.
type RecordOrder struct {
	Server string
	Holder Holder
	// After is the last fencing number that the holder was given for the server,
	// by Acquire or by RecordOrder. It makes a repeated delivery recognisable.
	After  uint64
	Action Action
	// At is Unix milliseconds.
	At int64
}

// SettleOrder reports the outcome of the last order of a server.
type SettleOrder struct {
	Server string
	// Holder is the present holder, which may be a successor of the order's.
	Holder Holder
	// Fence is the number of the order.
	Fence uint64
	// Outcome is Succeeded, Failed or OutcomeUnknown.
	Outcome OrderState
	// Observed describes the server's state for operators.
	Observed string
	// At is Unix milliseconds.
	At int64
}

// Outcome answers one operation.
type Outcome struct {
	// Fence is the number granted by Acquire, the number of the order for
	// RecordOrder and SettleOrder, and otherwise the last number given out.
	Fence uint64
	// Holder holds the right after the operation; zero when nobody does.
	Holder Holder
	// Order is the last order of the server.
	Order Order
	// Repeated is set when an earlier delivery was answered already.
	Repeated bool
}

// Server is the record of one backend server.
type Server struct {
	ID string
	// Holder holds the right; zero when nobody does.
	Holder Holder
	// Fence is the last fencing number given out.
	Fence uint64
	// Former holders were replaced without a release and may still be alive.
	Former []Holder
	Order  Order
}

// Confirmation is an operator's statement as kept for reading.
type Confirmation = ConfirmDead
