package codec

import (
	"github.com/wagtaildyke/wagtaildyke/api"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
)

func fromKey(k ledger.Key) *api.LogKey {
	return &api.LogKey{Caller: k.Caller, Id: k.ID}
}

func toKey(m *api.LogKey) ledger.Key {
	return ledger.Key{Caller: m.GetCaller(), ID: m.GetId()}
}

func fromBegin(b ledger.Begin) *api.LogBegin {
	return &api.LogBegin{
		Key:         fromKey(b.Key),
		Attempt:     b.Attempt,
		Digest:      b.RequestDigest[:],
		Entry:       b.Entry,
		Incarnation: b.Incarnation,
		Private:     b.GeneratedKey,
		AtMs:        b.At,
	}
}

func toBegin(m *api.LogBegin) (ledger.Begin, error) {
	digest, err := fixed[ledger.Digest](m.Digest)
	return ledger.Begin{
		Key:           toKey(m.Key),
		Attempt:       m.Attempt,
		RequestDigest: digest,
		Entry:         m.Entry,
		Incarnation:   m.Incarnation,
		GeneratedKey:  m.Private,
		At:            m.AtMs,
	}, err
}

func fromFinish(f ledger.Finish) *api.LogFinish {
	answer := f.Response.Bounded()
	return &api.LogFinish{
		Key:     fromKey(f.Key),
		Attempt: f.Attempt,
		Answer:  fromAnswer(&answer),
		Unknown: f.Unknown,
		AtMs:    f.At,
	}
}

func toFinish(m *api.LogFinish) ledger.Finish {
	f := ledger.Finish{Key: toKey(m.Key), Attempt: m.Attempt, Unknown: m.Unknown, At: m.AtMs}
	if m.Answer != nil {
		f.Response = *toAnswer(m.Answer)
	}
	return f
}

func fromAnswer(a *ledger.Response) *api.LogAnswer {
	if a == nil {
		return nil
	}
	return &api.LogAnswer{
		Status:      int32(a.Status),
		ContentType: []byte(a.ContentType),
		Body:        a.Body,
		Omitted:     a.Omitted,
	}
}

func toAnswer(m *api.LogAnswer) *ledger.Response {
	if m == nil {
		return nil
	}
	return &ledger.Response{
		Status:      int(m.Status),
		ContentType: string(m.ContentType),
		Body:        m.Body,
		Omitted:     m.Omitted,
	}
}

func fromWork(o *ledger.Outcome) *api.LogWork {
	if o == nil {
		return nil
	}
	m := &api.LogWork{Kind: uint32(o.Kind), Entry: o.Entry, Incarnation: o.Incarnation, Attempt: o.Attempt}
	if o.Kind == ledger.Recorded {
		m.Answer = fromAnswer(&o.Response)
	}
	return m
}

func toWork(m *api.LogWork) (*ledger.Outcome, error) {
	if m == nil {
		return nil, nil
	}
	kind, err := toOutcomeKind(m.Kind)
	if err != nil {
		return nil, err
	}
	out := &ledger.Outcome{Kind: kind, Entry: m.Entry, Incarnation: m.Incarnation, Attempt: m.Attempt}
	if m.Answer != nil {
		out.Response = *toAnswer(m.Answer)
	}
	return out, nil
}

func toOutcomeKind(n uint32) (ledger.OutcomeKind, error) {
	kind, err := narrow[ledger.OutcomeKind](n)
	if err != nil || !kind.Valid() {
		return 0, corrupt("an unknown outcome %d", n)
	}
	return kind, nil
}
