package codec

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/api"
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// EncodeResult encodes the result of a command. The error is of kind
// fault.Invalid, or fault.TooLarge above MaxResultBytes.
func EncodeResult(r replicated.Result) ([]byte, error) {
	document, err := fromRoutes(r.Routes)
	if err != nil {
		return nil, err
	}
	m := &api.LogResult{
		Fault:     fromFault(r.Err),
		Version:   r.Version,
		Work:      fromWork(r.Work),
		Authority: fromAuthorityOutcome(r.Authority),
		Routes:    document,
	}
	return marshal(m, MaxResultBytes)
}

// DecodeResult decodes the result of a command. The error is of kind
// fault.Corrupt. A decoded fault has the kind, the claim and the message of the
// first one, not its cause.
func DecodeResult(data []byte) (replicated.Result, error) {
	m := new(api.LogResult)
	if err := unmarshal(data, m, MaxResultBytes); err != nil {
		return replicated.Result{}, err
	}
	refusal, err := toFault(m.Fault)
	if err != nil {
		return replicated.Result{}, err
	}
	work, err := toWork(m.Work)
	if err != nil {
		return replicated.Result{}, err
	}
	outcome, err := toAuthorityOutcome(m.Authority)
	if err != nil {
		return replicated.Result{}, err
	}
	document, err := toRoutes(m.Routes)
	if err != nil {
		return replicated.Result{}, err
	}
	return replicated.Result{Err: refusal, Version: m.Version, Work: work, Authority: outcome, Routes: document}, nil
}

func fromFault(e *fault.Error) *api.LogFault {
	if e == nil {
		return nil
	}
	return &api.LogFault{
		Kind:            e.Kind.String(),
		Ran:             uint32(e.Ran),
		Message:         e.Error(),
		RetryAfterNanos: int64(e.RetryAfter),
	}
}

func toFault(m *api.LogFault) (*fault.Error, error) {
	if m == nil {
		return nil, nil
	}
	kind, ok := fault.ParseKind(m.Kind)
	if !ok {
		return nil, corrupt("an unknown error kind")
	}
	ran, err := narrow[fault.Ran](m.Ran)
	if err != nil || ran > fault.RanUnknown {
		return nil, corrupt("an unknown claim %d", m.Ran)
	}
	e := fault.New(kind, part, "%s", m.Message).WithRan(ran)
	return e.WithRetryAfter(time.Duration(m.RetryAfterNanos)), nil
}

func fromAuthorityOutcome(o *authority.Result) *api.LogAuthorityOutcome {
	if o == nil {
		return nil
	}
	return &api.LogAuthorityOutcome{
		Fence:    o.Fence,
		Holder:   fromHolder(o.Holder),
		Order:    fromOrder(o.Order),
		Repeated: o.Repeated,
	}
}

func toAuthorityOutcome(m *api.LogAuthorityOutcome) (*authority.Result, error) {
	if m == nil {
		return nil, nil
	}
	order, err := toOrder(m.Order)
	if err != nil {
		return nil, err
	}
	return &authority.Result{
		Fence:    m.Fence,
		Holder:   toHolder(m.Holder),
		Order:    order,
		Repeated: m.Repeated,
	}, nil
}
