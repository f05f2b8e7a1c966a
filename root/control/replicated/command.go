package replicated

import (
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

// Command is one change of the state. The types below are all there are.
type Command interface {
	// at returns the time of the command, Unix milliseconds.
	at() int64
	// stamped returns a copy with the given time.
	stamped(at int64) Command
	// apply carries the command out at the given time.
	apply(s *State, now int64) Result
}

// ChangeTable replaces the whole table.
type ChangeTable struct{ table.Change }

// BeginWork asks for the right to send work that must not repeat.
type BeginWork struct{ ledger.Begin }

// FinishWork records how the work of an attempt ended.
type FinishWork struct{ ledger.Finish }

// CancelWork says that an attempt never sent and never will.
type CancelWork struct{ ledger.Cancel }

// AbandonWork says that an entry's process is dead.
type AbandonWork struct{ ledger.Abandon }

// AcquireAuthority asks for the right to issue orders to a server.
type AcquireAuthority struct{ authority.Acquire }

// ReleaseAuthority gives that right up.
type ReleaseAuthority struct{ authority.Release }

// ConfirmDead carries an operator's statement that a process has ended. Without
// a server it also abandons the open work of that process.
type ConfirmDead struct{ authority.ConfirmDead }

// RecordOrder asks for the fencing number of a new order.
type RecordOrder struct{ authority.RecordOrder }

// SettleOrder reports the outcome of an order.
type SettleOrder struct{ authority.SettleOrder }

// SetDrain begins or ends the drain of a VM or backend server.
type SetDrain struct {
	// ID names the VM or backend server.
	ID       string
	Draining bool
	// By is who asked for it.
	By string
	// At is Unix milliseconds.
	At int64
}

// SetFencing says whether a backend server refuses orders with an old fencing
// number. A server without the setting is taken to ignore it.
type SetFencing struct {
	Server string
	Checks bool
	// By is who asked for it.
	By string
	// At is Unix milliseconds.
	At int64
}

// ReplaceRoutes puts a document of routes in force when its version is the
// highest so far.
type ReplaceRoutes struct {
	Document *routes.Document
	// At is Unix milliseconds.
	At int64
}

// ReadRoutes asks for the document of routes in force. The leader answers it
// as a linearizable read, without an entry in the log.
type ReadRoutes struct {
	// At is Unix milliseconds.
	At int64
}

// RecordFleet keeps which backend servers there are, so that a leader that starts
// without a view knows them before they speak.
type RecordFleet struct {
	// Servers are new or changed; their loads are not kept.
	Servers []fleet.Server
	// Removed names those that are gone.
	Removed []string
	// At is Unix milliseconds.
	At int64
}

// Tick moves the time on, so that retentions run out without other commands.
type Tick struct {
	// At is Unix milliseconds.
	At int64
}

// Stamp returns the command with the given time, Unix milliseconds. The leader
// stamps each command before it proposes it.
func Stamp(c Command, at int64) Command { return c.stamped(at) }

func (c ChangeTable) at() int64      { return c.At }
func (c BeginWork) at() int64        { return c.At }
func (c FinishWork) at() int64       { return c.At }
func (c CancelWork) at() int64       { return c.At }
func (c AbandonWork) at() int64      { return c.At }
func (c AcquireAuthority) at() int64 { return c.At }
func (c ReleaseAuthority) at() int64 { return c.At }
func (c ConfirmDead) at() int64      { return c.At }
func (c RecordOrder) at() int64      { return c.At }
func (c SettleOrder) at() int64      { return c.At }
func (c SetDrain) at() int64         { return c.At }
func (c SetFencing) at() int64       { return c.At }
func (c Tick) at() int64             { return c.At }
func (c ReplaceRoutes) at() int64    { return c.At }
func (c ReadRoutes) at() int64       { return c.At }
func (c RecordFleet) at() int64      { return c.At }

func (c ChangeTable) stamped(at int64) Command {
	c.At = at
	return c
}

func (c RecordFleet) stamped(at int64) Command {
	c.At = at
	return c
}

func (c BeginWork) stamped(at int64) Command {
	c.At = at
	return c
}

func (c FinishWork) stamped(at int64) Command {
	c.At = at
	return c
}

func (c CancelWork) stamped(at int64) Command {
	c.At = at
	return c
}

func (c AbandonWork) stamped(at int64) Command {
	c.At = at
	return c
}

func (c AcquireAuthority) stamped(at int64) Command {
	c.At = at
	return c
}

func (c ReleaseAuthority) stamped(at int64) Command {
	c.At = at
	return c
}

func (c ConfirmDead) stamped(at int64) Command {
	c.At = at
	return c
}

func (c RecordOrder) stamped(at int64) Command {
	c.At = at
	return c
}

func (c SettleOrder) stamped(at int64) Command {
	c.At = at
	return c
}

func (c SetDrain) stamped(at int64) Command {
	c.At = at
	return c
}

func (c SetFencing) stamped(at int64) Command {
	c.At = at
	return c
}

func (c ReplaceRoutes) stamped(at int64) Command {
	c.At = at
	return c
}

func (c ReadRoutes) stamped(at int64) Command {
	c.At = at
	return c
}

func (c Tick) stamped(at int64) Command {
	c.At = at
	return c
}
