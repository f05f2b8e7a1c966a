package codec

import (
	"github.com/wagtaildyke/wagtaildyke/api"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// fromHolder encodes the zero holder as an absent message.
func fromHolder(h authority.Holder) *api.LogHolder {
	if h == (authority.Holder{}) {
		return nil
	}
	return &api.LogHolder{Vm: h.VM, Incarnation: h.Incarnation}
}

func toHolder(m *api.LogHolder) authority.Holder {
	return authority.Holder{VM: m.GetVm(), Incarnation: m.GetIncarnation()}
}

func fromHolders(holders []authority.Holder) []*api.LogHolder {
	var out []*api.LogHolder
	for _, h := range holders {
		out = append(out, &api.LogHolder{Vm: h.VM, Incarnation: h.Incarnation})
	}
	return out
}

func toHolders(ms []*api.LogHolder) []authority.Holder {
	var out []authority.Holder
	for _, m := range ms {
		out = append(out, toHolder(m))
	}
	return out
}

func fromAction(a authority.Action) *api.LogAction {
	return &api.LogAction{
		Kind:    uint32(a.Kind),
		Model:   a.Model,
		Adapter: a.Adapter,
		Version: a.Version,
		Role:    uint32(a.Role),
	}
}

func toAction(m *api.LogAction) (authority.Action, error) {
	kind, err := narrow[authority.ActionKind](m.GetKind())
	if err != nil {
		return authority.Action{}, err
	}
	role, err := narrow[fleet.Role](m.GetRole())
	return authority.Action{
		Kind:    kind,
		Model:   m.GetModel(),
		Adapter: m.GetAdapter(),
		Version: m.GetVersion(),
		Role:    role,
	}, err
}

func fromAcquire(a authority.Acquire) *api.LogAcquire {
	return &api.LogAcquire{
		Server:  a.Server,
		Holder:  fromHolder(a.Holder),
		Running: fromHolders(a.Running),
		AtMs:    a.At,
	}
}

func toAcquire(m *api.LogAcquire) authority.Acquire {
	return authority.Acquire{
		Server:  m.Server,
		Holder:  toHolder(m.Holder),
		Running: toHolders(m.Running),
		At:      m.AtMs,
	}
}

func fromConfirmDead(c authority.ConfirmDead) *api.LogConfirmDead {
	return &api.LogConfirmDead{
		Server:    c.Server,
		Holder:    fromHolder(authority.Holder{VM: c.VM, Incarnation: c.Incarnation}),
		Operator:  c.Operator,
		Statement: c.Statement,
		AtMs:      c.At,
	}
}

func toConfirmDead(m *api.LogConfirmDead) authority.ConfirmDead {
	return authority.ConfirmDead{
		Server:      m.Server,
		VM:          m.Holder.GetVm(),
		Incarnation: m.Holder.GetIncarnation(),
		Operator:    m.Operator,
		Statement:   m.Statement,
		At:          m.AtMs,
	}
}

func fromProposals(proposals []authority.Proposal) []*api.LogProposal {
	var out []*api.LogProposal
	for _, p := range proposals {
		out = append(out, &api.LogProposal{Vm: p.VM, Id: p.ID})
	}
	return out
}

func toProposals(ms []*api.LogProposal) []authority.Proposal {
	var out []authority.Proposal
	for _, m := range ms {
		out = append(out, authority.Proposal{VM: m.GetVm(), ID: m.GetId()})
	}
	return out
}

func fromRecordOrder(r authority.RecordOrder) *api.LogRecordOrder {
	return &api.LogRecordOrder{
		Server: r.Server,
		Holder: fromHolder(r.Holder),
		After:  r.After,
		Action: fromAction(r.Action),
		AtMs:   r.At,

		Proposals: fromProposals(r.Proposals),
	}
}

func toRecordOrder(m *api.LogRecordOrder) (authority.RecordOrder, error) {
	action, err := toAction(m.Action)
	return authority.RecordOrder{
		Server: m.Server,
		Holder: toHolder(m.Holder),
		After:  m.After,
		Action: action,
		At:     m.AtMs,

		Proposals: toProposals(m.Proposals),
	}, err
}

func fromSettleOrder(s authority.SettleOrder) *api.LogSettleOrder {
	return &api.LogSettleOrder{
		Server:   s.Server,
		Holder:   fromHolder(s.Holder),
		Fence:    s.Fence,
		Outcome:  uint32(s.Outcome),
		Observed: s.Observed,
		AtMs:     s.At,

		Proposals: fromProposals(s.Proposals),
	}
}

func toSettleOrder(m *api.LogSettleOrder) (authority.SettleOrder, error) {
	outcome, err := narrow[authority.OrderState](m.Outcome)
	return authority.SettleOrder{
		Server:   m.Server,
		Holder:   toHolder(m.Holder),
		Fence:    m.Fence,
		Outcome:  outcome,
		Observed: m.Observed,
		At:       m.AtMs,

		Proposals: toProposals(m.Proposals),
	}, err
}

// fromOrder encodes the absence of an order as an absent message.
func fromOrder(o authority.Order) *api.LogOrder {
	if o == (authority.Order{}) {
		return nil
	}
	return &api.LogOrder{
		Fence:    o.Fence,
		After:    o.After,
		Holder:   fromHolder(o.Holder),
		Action:   fromAction(o.Action),
		State:    uint32(o.State),
		Observed: o.Observed,
	}
}

func toOrder(m *api.LogOrder) (authority.Order, error) {
	if m == nil {
		return authority.Order{}, nil
	}
	action, err := toAction(m.Action)
	if err != nil {
		return authority.Order{}, err
	}
	state, err := narrow[authority.OrderState](m.State)
	return authority.Order{
		Fence:    m.Fence,
		After:    m.After,
		Holder:   toHolder(m.Holder),
		Action:   action,
		State:    state,
		Observed: m.Observed,
	}, err
}
