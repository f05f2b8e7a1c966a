package authority

import (
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

func invalid(format string, args ...any) *fault.Error {
	return fault.New(fault.Invalid, part, format, args...)
}

func checkServer(id string) *fault.Error {
	if id == "" || len(id) > MaxIDBytes {
		return invalid("a server id has 1 to %d bytes", MaxIDBytes)
	}
	return nil
}

func (h Holder) check() *fault.Error {
	if h.VM == "" || len(h.VM) > MaxIDBytes || h.Incarnation == 0 {
		return invalid("a holder is a VM id of 1 to %d bytes with an incarnation above 0", MaxIDBytes)
	}
	return nil
}

func checkBoth(server string, h Holder) *fault.Error {
	if err := checkServer(server); err != nil {
		return err
	}
	return h.check()
}

func (a Acquire) check() *fault.Error {
	if len(a.Running) > MaxVMs {
		return invalid("at most %d running processes can be named", MaxVMs)
	}
	for _, h := range a.Running {
		if err := h.check(); err != nil {
			return err
		}
	}
	return checkBoth(a.Server, a.Holder)
}

func (c ConfirmDead) check() *fault.Error {
	if len(c.Server) > MaxIDBytes {
		return invalid("a server id has at most %d bytes", MaxIDBytes)
	}
	if c.Operator == "" || c.Statement == "" {
		return invalid("a confirmation needs an operator and a statement")
	}
	if len(c.Operator) > MaxTextBytes || len(c.Statement) > MaxTextBytes {
		return invalid("an operator and a statement have at most %d bytes", MaxTextBytes)
	}
	return Holder{c.VM, c.Incarnation}.check()
}

func (r RecordOrder) check() *fault.Error {
	if err := r.Action.check(); err != nil {
		return err
	}
	return checkBoth(r.Server, r.Holder)
}

func (s SettleOrder) check() *fault.Error {
	switch s.Outcome {
	case Succeeded, Failed, OutcomeUnknown:
	default:
		return invalid("an order is settled as succeeded, failed or unknown")
	}
	if len(s.Observed) > MaxTextBytes {
		return invalid("an observed state has at most %d bytes", MaxTextBytes)
	}
	return checkBoth(s.Server, s.Holder)
}

func (a Action) check() *fault.Error {
	loads := a.Kind == LoadModel || a.Kind == LoadAdapter || a.Kind == LoadVersion
	switch {
	case !loads && a.Kind != ChangeRole:
		return invalid("an order has an unknown kind of action")
	case !named(a.Model, loads):
		return invalid("an order to load names a model, and no other order does")
	case !named(a.Adapter, a.Kind == LoadAdapter):
		return invalid("an order to load an adapter names it, and no other order does")
	case !named(a.Version, a.Kind == LoadVersion):
		return invalid("an order to load a version names it, and no other order does")
	case a.Role > fleet.Decode || a.Kind != ChangeRole && a.Role != fleet.Mixed:
		return invalid("an order to change role names a role, and no other order does")
	}
	return nil
}

// named reports whether a name is set exactly when it is wanted.
func named(name string, wanted bool) bool {
	return wanted == (name != "") && len(name) <= MaxNameBytes
}
