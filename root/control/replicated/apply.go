package replicated

import (
	"maps"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
)

// Result is the response to one command.
type Result struct {
	// Err is nil if the command succeeded.
	Err *fault.Error
	// Version is the Version of the table.Result after ChangeTable, and the current
	// version of the routes after ReplaceRoutes and ReadRoutes.
	Version uint64
	// Work is the outcome of BeginWork, FinishWork and CancelWork. It is nil if the
	// ledger rejected the command and recorded nothing.
	Work *ledger.Outcome
	// Authority is the outcome of the commands on authority and orders. It is nil if
	// the command was rejected. A ConfirmDead for all servers can set both Err and
	// Authority: the confirmation is recorded, but the ledger did not abandon the open
	// work, because its limit of VMs with dead processes is reached.
	Authority *authority.Result
	// Routes is the document that ReadRoutes returns, or nil if there is none yet.
	Routes *routes.Document
}

// Apply executes the command of the log entry at the given index. The result
// depends only on the commands applied so far. Time never runs backwards: a command
// with an earlier time is executed at the latest time seen. An index that is not
// above the last one is rejected with fault.Corrupt.
func (s *State) Apply(index uint64, c Command) Result {
	if index <= s.index {
		err := fault.New(fault.Corrupt, part, "log entry %d applied after entry %d", index, s.index)
		return Result{Err: err}
	}
	s.index = index
	s.now = max(s.now, c.timestamp())
	s.ledger.Expire(s.now)
	s.quarantine.Expire(s.now)
	return c.apply(s, s.now)
}

func (c ChangeTable) apply(s *State, now int64) Result {
	c.At = now
	r := s.table.Apply(c.Change)
	return Result{Err: r.Err, Version: r.Version}
}

func (c BeginWork) apply(s *State, now int64) Result {
	return beginResult(s.ledger.Begin(c.Begin, now))
}

func (c FinishWork) apply(s *State, now int64) Result {
	return closeResult(s.ledger.Finish(c.Finish, now))
}

func (c CancelWork) apply(s *State, now int64) Result {
	return closeResult(s.ledger.Cancel(c.Cancel, now))
}

func (c AbandonWork) apply(s *State, now int64) Result {
	_, err := s.ledger.Abandon(c.Abandon, now)
	return Result{Err: err}
}

// beginResult returns the result of a Begin. An outcome that forbids sending sets
// Err as well.
func beginResult(o ledger.Outcome, err *fault.Error) Result {
	if err != nil {
		return Result{Err: err}
	}
	return Result{Err: o.Err(), Work: &o}
}

// closeResult returns the result of a Finish or Cancel, whose outcome is the state
// of the record afterwards and not an error.
func closeResult(o ledger.Outcome, err *fault.Error) Result {
	if err != nil {
		return Result{Err: err}
	}
	return Result{Work: &o}
}

func (c AcquireAuthority) apply(s *State, _ int64) Result {
	return authorityResult(s.authority.Acquire(c.Acquire, s.fencing[c.Server].Checks))
}

func (c ReleaseAuthority) apply(s *State, _ int64) Result {
	return authorityResult(s.authority.Release(c.Release))
}

func (c RecordOrder) apply(s *State, now int64) Result {
	c.At = now
	return authorityResult(s.authority.RecordOrder(c.RecordOrder, s.fencing[c.Server].Checks))
}

func (c SettleOrder) apply(s *State, now int64) Result {
	c.At = now
	return authorityResult(s.authority.SettleOrder(c.SettleOrder))
}

func (c ConfirmDead) apply(s *State, now int64) Result {
	c.At = now
	if c.Server != "" {
		return authorityResult(s.authority.ConfirmDead(c.ConfirmDead))
	}
	abandon := ledger.Abandon{Entry: c.VM, Incarnation: c.Incarnation}
	// The confirmation applies to locks and open work together, or to neither.
	if err := s.ledger.CheckAbandon(abandon); err != nil {
		return Result{Err: err}
	}
	r := authorityResult(s.authority.ConfirmDead(c.ConfirmDead))
	if r.Err == nil {
		_, r.Err = s.ledger.Abandon(abandon, now)
	}
	return r
}

func authorityResult(o authority.Result, err *fault.Error) Result {
	if err != nil {
		return Result{Err: err}
	}
	return Result{Authority: &o}
}

func (c SetDrain) apply(s *State, now int64) Result {
	if err := validateIDAndOperator(c.ID, c.Operator); err != nil {
		return Result{Err: err}
	}
	_, draining := s.drains[c.ID]
	if draining == c.Draining {
		return Result{}
	}
	next := maps.Clone(s.drains)
	if !c.Draining {
		delete(next, c.ID)
		s.drains = next
		return Result{}
	}
	if len(next) >= MaxDrains {
		return Result{Err: fault.New(fault.Overloaded, part, "limit of %d concurrent drains reached", MaxDrains)}
	}
	next[c.ID] = Drain{Operator: c.Operator, Since: now}
	s.drains = next
	return Result{}
}

func (c SetFencing) apply(s *State, now int64) Result {
	if err := validateIDAndOperator(c.Server, c.Operator); err != nil {
		return Result{Err: err}
	}
	if _, known := s.fencing[c.Server]; !known && len(s.fencing) >= authority.MaxServers {
		return Result{Err: fault.New(fault.Overloaded, part, "limit of %d fencing settings reached", authority.MaxServers)}
	}
	s.fencing = maps.Clone(s.fencing)
	s.fencing[c.Server] = FencingSetting{Checks: c.Checks, Operator: c.Operator, At: now}
	return Result{}
}

func (c ReplaceRoutes) apply(s *State, _ int64) Result {
	r := s.routes.Replace(c.Document)
	return Result{Err: r.Err, Version: r.Version}
}

func (ReadRoutes) apply(s *State, _ int64) Result { return s.ReadRoutes() }

// ReadRoutes returns the result of the ReadRoutes command without a log entry.
func (s *State) ReadRoutes() Result {
	return Result{Version: s.routes.Version(), Routes: s.routes.Document()}
}

func (c QuarantineSegments) apply(s *State, now int64) Result {
	return Result{Err: s.quarantine.Add(c.Segments, now)}
}

func (c ReleaseSegments) apply(s *State, _ int64) Result {
	s.quarantine.Release(c.Segments)
	return Result{}
}

func (c Tick) apply(*State, int64) Result { return Result{} }

func validateIDAndOperator(id, operator string) *fault.Error {
	if id == "" || len(id) > authority.MaxIDBytes {
		return fault.New(fault.Invalid, part, "id must have 1 to %d bytes", authority.MaxIDBytes)
	}
	if len(operator) > authority.MaxTextBytes {
		return fault.New(fault.Invalid, part, "operator must have at most %d bytes", authority.MaxTextBytes)
	}
	return nil
}
