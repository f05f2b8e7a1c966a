package authority

import (
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

func invalid(format string, args ...any) *fault.Error {
	return fault.New(fault.Invalid, part, format, args...)
}

func checkServerID(id string) *fault.Error {
	if id == "" || len(id) > MaxIDBytes {
		return invalid("a server id must have 1 to %d bytes", MaxIDBytes)
	}
	return nil
}

func (h Holder) check() *fault.Error {
	if h.VM == "" || len(h.VM) > MaxIDBytes || h.Incarnation == 0 {
		return invalid("a holder needs a VM id of 1 to %d bytes and an incarnation above 0", MaxIDBytes)
	}
	return nil
}

func checkServerAndHolder(server string, h Holder) *fault.Error {
	if err := checkServerID(server); err != nil {
		return err
	}
	return h.check()
}

func (a Acquire) check() *fault.Error {
	if len(a.Running) > MaxVMs {
		return invalid("a request lists at most %d running processes", MaxVMs)
	}
	for _, h := range a.Running {
		if err := h.check(); err != nil {
			return err
		}
	}
	return checkServerAndHolder(a.Server, a.Holder)
}

func (c ConfirmDead) check() *fault.Error {
	if len(c.Server) > MaxIDBytes {
		return invalid("a server id must have at most %d bytes", MaxIDBytes)
	}
	if c.Operator == "" || c.Statement == "" {
		return invalid("a confirmation needs an operator and a statement")
	}
	if len(c.Operator) > MaxTextBytes || len(c.Statement) > MaxTextBytes {
		return invalid("an operator and a statement must have at most %d bytes each", MaxTextBytes)
	}
	return Holder{c.VM, c.Incarnation}.check()
}

func (r RecordOrder) check() *fault.Error {
	if err := checkProposals(r.Proposals); err != nil {
		return err
	}
	if err := r.Action.check(); err != nil {
		return err
	}
	return checkServerAndHolder(r.Server, r.Holder)
}

func (s SettleOrder) check() *fault.Error {
	switch s.Outcome {
	case Succeeded, Failed, OutcomeUnknown:
	default:
		return invalid("the outcome of an order must be succeeded, failed or unknown")
	}
	if err := checkProposals(s.Proposals); err != nil {
		return err
	}
	if len(s.Observed) > MaxTextBytes {
		return invalid("an observed state must have at most %d bytes", MaxTextBytes)
	}
	return checkServerAndHolder(s.Server, s.Holder)
}

func (a Action) check() *fault.Error {
	loads := a.Kind == LoadModel || a.Kind == LoadAdapter || a.Kind == LoadVersion
	switch {
	case !loads && a.Kind != ChangeRole:
		return invalid("unknown kind of action")
	case !validName(a.Model, loads):
		return invalid("loading a model, adapter or version requires a valid model name; other actions take none")
	case !validName(a.Adapter, a.Kind == LoadAdapter):
		return invalid("loading an adapter requires a valid adapter name; other actions take none")
	case !validName(a.Version, a.Kind == LoadVersion):
		return invalid("loading a version requires a valid version name; other actions take none")
	case a.Role > fleet.Decode || a.Kind != ChangeRole && a.Role != fleet.Mixed:
		return invalid("changing the role requires a known role; other actions take none")
	}
	return nil
}

// validName reports whether a name is set if and only if it is required, and has
// at most MaxNameBytes.
func validName(name string, required bool) bool {
	return required == (name != "") && len(name) <= MaxNameBytes
}
