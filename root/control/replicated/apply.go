package replicated

import (
	"maps"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
)

// Result answers one command.
type Result struct {
	// Err is nil when the command was carried out.
	Err *fault.Error
	// Version answers ChangeTable: the version made, or the current one for a
	// refused change.
	Version uint64
	// Work answers the commands of the ledger, apart from AbandonWork. It is nil
	// when the command was refused without looking at the record.
	Work *ledger.Outcome
	// Authority answers the commands of the authority. It is nil when the command
	// was refused.
	Authority *authority.Outcome
	// Routes answers ReadRoutes; nil before the first document.
	Routes *routes.Document
}

// Apply carries out the command of one log entry. The result depends on the
// commands applied so far only. The time of the state is the latest time of any
// command. An entry that was applied before is refused as fault.Corrupt.
func (s *State) Apply(index uint64, c Command) Result {
	if index <= s.index {
		err := fault.New(fault.Corrupt, part, "entry %d comes after entry %d", index, s.index)
		return Result{Err: err}
	}
	s.index = index
	s.now = max(s.now, c.at())
	s.ledger.Expire(s.now)
	return c.apply(s, s.now)
}

func (c ChangeTable) apply(s *State, now int64) Result {
	c.At = now
	r := s.table.Apply(c.Change)
	return Result{Err: r.Err, Version: r.Version}
}

func (c BeginWork) apply(s *State, now int64) Result {
	return workResult(s.ledger.Begin(c.Begin, now))
}

func (c FinishWork) apply(s *State, now int64) Result {
	return workDone(s.ledger.Finish(c.Finish, now))
}

func (c CancelWork) apply(s *State, now int64) Result {
	return workDone(s.ledger.Cancel(c.Cancel, now))
}

func (c AbandonWork) apply(s *State, now int64) Result {
	_, err := s.ledger.Abandon(c.Abandon, now)
	return Result{Err: err}
}

// workResult answers a Begin: an outcome that forbids sending is an error.
func workResult(o ledger.Outcome, err *fault.Error) Result {
	if err != nil {
		return Result{Err: err}
	}
	return Result{Err: o.Err(), Work: &o}
}

// workDone answers a Finish or Cancel: the outcome is what the record says now.
func workDone(o ledger.Outcome, err *fault.Error) Result {
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

func (c RecordOrder) apply(s *State, _ int64) Result {
	return authorityResult(s.authority.RecordOrder(c.RecordOrder, s.fencing[c.Server].Checks))
}

func (c SettleOrder) apply(s *State, _ int64) Result {
	return authorityResult(s.authority.SettleOrder(c.SettleOrder))
}

func (c ConfirmDead) apply(s *State, now int64) Result {
	c.At = now
	r := authorityResult(s.authority.ConfirmDead(c.ConfirmDead))
	if r.Err != nil || c.Server != "" {
		return r
	}
	_, r.Err = s.ledger.Abandon(ledger.Abandon{Entry: c.VM, Incarnation: c.Incarnation}, now)
	return r
}

func authorityResult(o authority.Outcome, err *fault.Error) Result {
	if err != nil {
		return Result{Err: err}
	}
	return Result{Authority: &o}
}

func (c SetDrain) apply(s *State, now int64) Result {
	if err := checkSetting(c.ID, c.By); err != nil {
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
		return Result{Err: fault.New(fault.Overloaded, part, "%d drains are under way, the bound", MaxDrains)}
	}
	next[c.ID] = Drain{By: c.By, Since: now}
	s.drains = next
	return Result{}
}

func (c SetFencing) apply(s *State, now int64) Result {
	if err := checkSetting(c.Server, c.By); err != nil {
		return Result{Err: err}
	}
	if _, known := s.fencing[c.Server]; !known && len(s.fencing) >= authority.MaxServers {
		return Result{Err: fault.New(fault.Overloaded, part, "%d servers have a fencing setting, the bound", authority.MaxServers)}
	}
	s.fencing = maps.Clone(s.fencing)
	s.fencing[c.Server] = FencingSetting{Checks: c.Checks, By: c.By, At: now}
	return Result{}
}

func (c ReplaceRoutes) apply(s *State, _ int64) Result {
	r := s.routes.Replace(c.Document)
	return Result{Err: r.Err, Version: r.Version}
}

func (ReadRoutes) apply(s *State, _ int64) Result { return s.ReadRoutes() }

// ReadRoutes returns the result of ReadRoutes as of now.
func (s *State) ReadRoutes() Result {
	return Result{Version: s.routes.Version(), Routes: s.routes.Document()}
}

func (c Tick) apply(*State, int64) Result { return Result{} }

func checkSetting(id, by string) *fault.Error {
	if id == "" || len(id) > authority.MaxIDBytes {
		return fault.New(fault.Invalid, part, "an id has 1 to %d bytes", authority.MaxIDBytes)
	}
	if len(by) > authority.MaxTextBytes {
		return fault.New(fault.Invalid, part, "an operator has at most %d bytes", authority.MaxTextBytes)
	}
	return nil
}
