package codec

import (
	"maps"
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/api"
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

func fromTable(s table.Snapshot) *api.LogTable {
	m := &api.LogTable{Version: s.Table.Version, Classes: fromClasses(s.Table.Classes)}
	for _, r := range s.History {
		m.History = append(m.History, &api.LogTableRecord{
			Version: r.Version,
			Id:      r.ID,
			Author:  r.Author,
			AtMs:    r.At,
			Classes: fromClasses(r.Classes),
		})
	}
	for _, a := range s.Answers {
		answer := &api.LogTableAnswer{Id: a.ID, Content: a.ContentHash[:], Version: a.Version}
		if a.Rejected {
			answer.Refusal = &api.LogFault{Kind: a.Kind.String(), Message: a.Message}
		}
		m.Answers = append(m.Answers, answer)
	}
	return m
}

func toTable(m *api.LogTable) (table.Snapshot, error) {
	var out table.Snapshot
	out.Table = table.Table{Version: m.GetVersion(), Classes: toClasses(m.GetClasses())}
	for _, r := range m.GetHistory() {
		out.History = append(out.History, table.Record{
			Version: r.Version,
			ID:      r.Id,
			Author:  r.Author,
			At:      r.AtMs,
			Classes: toClasses(r.Classes),
		})
	}
	for _, a := range m.GetAnswers() {
		answer, err := toTableAnswer(a)
		if err != nil {
			return table.Snapshot{}, err
		}
		out.Answers = append(out.Answers, answer)
	}
	return out, nil
}

func toTableAnswer(m *api.LogTableAnswer) (*table.Answer, error) {
	content, err := fixed[[32]byte](m.Content)
	if err != nil {
		return nil, err
	}
	out := &table.Answer{ID: m.Id, ContentHash: content, Version: m.Version}
	if m.Refusal == nil {
		return out, nil
	}
	kind, ok := fault.ParseKind(m.Refusal.Kind)
	if !ok {
		return nil, corrupt("an unknown error kind")
	}
	out.Rejected = true
	out.Kind = kind
	out.Message = m.Refusal.Message
	return out, nil
}

// fromLedger converts a ledger without its records.
func fromLedger(s ledger.Snapshot) *api.LogLedger {
	m := &api.LogLedger{
		Limits:      fromLimits(s.Limits),
		LastSettled: s.LastSettledSeq,
		Dead:        fromIncarnations(s.Dead),
	}
	for _, c := range s.Closed {
		m.Closed = append(m.Closed, &api.LogClosedAttempt{
			Key:     c.Key[:],
			Attempt: c.Attempt,
			Outcome: uint32(c.Outcome),
			AtMs:    c.At,
		})
	}
	return m
}

func toLedger(m *api.LogLedger) (ledger.Snapshot, error) {
	out := ledger.Snapshot{
		Limits:         toLimits(m.GetLimits()),
		LastSettledSeq: m.GetLastSettled(),
		Dead:           toIncarnations(m.GetDead()),
	}
	for _, r := range m.GetRecords() {
		record, err := toRecord(r)
		if err != nil {
			return ledger.Snapshot{}, err
		}
		if !out.AddRecord(record) {
			return ledger.Snapshot{}, corrupt("the ledger repeats a key")
		}
	}
	for _, c := range m.GetClosed() {
		closed, err := toClosedAttempt(c)
		if err != nil {
			return ledger.Snapshot{}, err
		}
		out.Closed = append(out.Closed, closed)
	}
	return out, nil
}

func toClosedAttempt(m *api.LogClosedAttempt) (ledger.ClosedAttempt, error) {
	key, err := fixed[ledger.KeyDigest](m.Key)
	if err != nil {
		return ledger.ClosedAttempt{}, err
	}
	outcome, err := toOutcomeKind(m.Outcome)
	return ledger.ClosedAttempt{Key: key, Attempt: m.Attempt, Outcome: outcome, At: m.AtMs}, err
}

func fromRecord(r *ledger.Record) *api.LogRecord {
	return &api.LogRecord{
		Key:         r.Key[:],
		Digest:      r.RequestDigest[:],
		State:       uint32(r.State),
		Private:     r.GeneratedKey,
		Attempt:     r.Attempt,
		Entry:       r.Entry,
		Incarnation: r.Incarnation,
		Answer:      fromAnswer(r.Response),
		SettledAtMs: r.SettledAt,
		Settled:     r.SettledSeq,
	}
}

func toRecord(m *api.LogRecord) (*ledger.Record, error) {
	key, err := fixed[ledger.KeyDigest](m.Key)
	if err != nil {
		return nil, err
	}
	digest, err := fixed[ledger.Digest](m.Digest)
	if err != nil {
		return nil, err
	}
	state, err := narrow[ledger.RecordState](m.State)
	return &ledger.Record{
		Key:           key,
		RequestDigest: digest,
		State:         state,
		GeneratedKey:  m.Private,
		Attempt:       m.Attempt,
		Entry:         m.Entry,
		Incarnation:   m.Incarnation,
		Response:      toAnswer(m.Answer),
		SettledAt:     m.SettledAtMs,
		SettledSeq:    m.Settled,
	}, err
}

func fromLimits(l ledger.Limits) *api.LogLimits {
	return &api.LogLimits{
		AnswerRetentionMs:   l.ResponseRetention.Milliseconds(),
		KeyRetentionMs:      l.KeyRetention.Milliseconds(),
		ClosedRetentionMs:   l.ClosedRetention.Milliseconds(),
		MaxKeys:             int64(l.MaxKeys),
		MaxClosed:           int64(l.MaxClosed),
		MaxAnswerBytes:      int64(l.MaxResponseBytes),
		MaxTotalAnswerBytes: int64(l.MaxTotalResponseBytes),
	}
}

func toLimits(m *api.LogLimits) ledger.Limits {
	return ledger.Limits{
		ResponseRetention:     milliseconds(m.GetAnswerRetentionMs()),
		KeyRetention:          milliseconds(m.GetKeyRetentionMs()),
		ClosedRetention:       milliseconds(m.GetClosedRetentionMs()),
		MaxKeys:               int(m.GetMaxKeys()),
		MaxClosed:             int(m.GetMaxClosed()),
		MaxResponseBytes:      int(m.GetMaxAnswerBytes()),
		MaxTotalResponseBytes: int(m.GetMaxTotalAnswerBytes()),
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
