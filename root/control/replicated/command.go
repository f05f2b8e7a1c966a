package replicated

import (
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

// Command is an operation on the state. Its implementations are the types below.
type Command interface {
	// timestamp returns the time of the command in Unix milliseconds.
	timestamp() int64
	// withTimestamp returns a copy with the given time.
	withTimestamp(timestamp int64) Command
	// apply executes the command at time now, in Unix milliseconds.
	apply(s *State, now int64) Result
}

// ChangeTable replaces the class table.
type ChangeTable struct{ table.Change }

// BeginWork requests permission to send non-idempotent work to a backend server.
type BeginWork struct{ ledger.Begin }

// FinishWork records the outcome of an attempt.
type FinishWork struct{ ledger.Finish }

// CancelWork records that an attempt has not sent its request and never will.
type CancelWork struct{ ledger.Cancel }

// AbandonWork records that the process of a VM is dead. The attempts that it has
// open end with an unknown outcome. Entry is the id of that VM. The ledger calls it so
// because the callers' requests entered the fleet there.
type AbandonWork struct{ ledger.Abandon }

// AcquireAuthority requests the exclusive right to issue orders to a backend server.
type AcquireAuthority struct{ authority.Acquire }

// ReleaseAuthority gives up the right to issue orders to a backend server.
type ReleaseAuthority struct{ authority.Release }

// ConfirmDead records an operator's confirmation that a process has ended. If it
// names no server, it also abandons the open work of that process. If the ledger
// refuses that, nothing is recorded.
type ConfirmDead struct{ authority.ConfirmDead }

// RecordOrder records a new order and requests a fencing token for it.
type RecordOrder struct{ authority.RecordOrder }

// SettleOrder records the outcome of an order.
type SettleOrder struct{ authority.SettleOrder }

// SetDrain starts or ends the drain of a VM or backend server.
type SetDrain struct {
	// ID is the id of the VM or backend server.
	ID       string
	Draining bool
	// Operator is the operator who requested the change.
	Operator string
	// At is the time of the command in Unix milliseconds.
	At int64
}

// SetFencing sets whether a backend server rejects orders with a stale fencing
// token. Without the setting, it is assumed to ignore fencing tokens.
type SetFencing struct {
	Server string
	Checks bool
	// Operator is the operator who requested the change.
	Operator string
	// At is the time of the command in Unix milliseconds.
	At int64
}

// ReplaceRoutes replaces the routing document if the new one has a higher version.
type ReplaceRoutes struct {
	Document *routes.Document
	// At is the time of the command in Unix milliseconds.
	At int64
}

// ReadRoutes returns the current routing document. The leader serves it as a
// linearizable read without a log entry.
type ReadRoutes struct {
	// At is the time of the command in Unix milliseconds.
	At int64
}

// RecordFleet records which backend servers exist, so that a leader that starts
// without a view knows them before they have announced themselves again.
type RecordFleet struct {
	// Servers are added or changed. Their loads are discarded.
	Servers []fleet.Server
	// Removed holds the ids of servers that no longer exist.
	Removed []string
	// At is the time of the command in Unix milliseconds.
	At int64
}

// QuarantineSegments keeps requests with these prompt segments from engines for
// quarantine.Duration, or longer after an earlier quarantine.
type QuarantineSegments struct {
	Segments []quarantine.Segment
	// At is the time of the command in Unix milliseconds.
	At int64
}

// ReleaseSegments ends the probation of prompt segments.
type ReleaseSegments struct {
	Segments []quarantine.Segment
	// At is the time of the command in Unix milliseconds.
	At int64
}

// Tick advances the time of the state, so that records expire while no other
// commands are committed.
type Tick struct {
	// At is the time of the command in Unix milliseconds.
	At int64
}

// WithTimestamp returns a copy of the command with the given time in Unix
// milliseconds. The leader sets the time of each command before it proposes it.
func WithTimestamp(c Command, at int64) Command { return c.withTimestamp(at) }

func (c ChangeTable) timestamp() int64      { return c.At }
func (c BeginWork) timestamp() int64        { return c.At }
func (c FinishWork) timestamp() int64       { return c.At }
func (c CancelWork) timestamp() int64       { return c.At }
func (c AbandonWork) timestamp() int64      { return c.At }
func (c AcquireAuthority) timestamp() int64 { return c.At }
func (c ReleaseAuthority) timestamp() int64 { return c.At }
func (c ConfirmDead) timestamp() int64      { return c.At }
func (c RecordOrder) timestamp() int64      { return c.At }
func (c SettleOrder) timestamp() int64      { return c.At }
func (c SetDrain) timestamp() int64         { return c.At }
func (c SetFencing) timestamp() int64       { return c.At }
func (c Tick) timestamp() int64             { return c.At }
func (c ReplaceRoutes) timestamp() int64    { return c.At }
func (c ReadRoutes) timestamp() int64       { return c.At }
func (c RecordFleet) timestamp() int64      { return c.At }

func (c QuarantineSegments) timestamp() int64 { return c.At }
func (c ReleaseSegments) timestamp() int64    { return c.At }

func (c ChangeTable) withTimestamp(at int64) Command {
	c.At = at
	return c
}

func (c QuarantineSegments) withTimestamp(at int64) Command {
	c.At = at
	return c
}

func (c ReleaseSegments) withTimestamp(at int64) Command {
	c.At = at
	return c
}

func (c RecordFleet) withTimestamp(at int64) Command {
	c.At = at
	return c
}

func (c BeginWork) withTimestamp(at int64) Command {
	c.At = at
	return c
}

func (c FinishWork) withTimestamp(at int64) Command {
	c.At = at
	return c
}

func (c CancelWork) withTimestamp(at int64) Command {
	c.At = at
	return c
}

func (c AbandonWork) withTimestamp(at int64) Command {
	c.At = at
	return c
}

func (c AcquireAuthority) withTimestamp(at int64) Command {
	c.At = at
	return c
}

func (c ReleaseAuthority) withTimestamp(at int64) Command {
	c.At = at
	return c
}

func (c ConfirmDead) withTimestamp(at int64) Command {
	c.At = at
	return c
}

func (c RecordOrder) withTimestamp(at int64) Command {
	c.At = at
	return c
}

func (c SettleOrder) withTimestamp(at int64) Command {
	c.At = at
	return c
}

func (c SetDrain) withTimestamp(at int64) Command {
	c.At = at
	return c
}

func (c SetFencing) withTimestamp(at int64) Command {
	c.At = at
	return c
}

func (c ReplaceRoutes) withTimestamp(at int64) Command {
	c.At = at
	return c
}

func (c ReadRoutes) withTimestamp(at int64) Command {
	c.At = at
	return c
}

func (c Tick) withTimestamp(at int64) Command {
	c.At = at
	return c
}
