package codec

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/api"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
)

func fromConsensus(m consensus.Message) *api.Consensus {
	out := &api.Consensus{
		Kind:     uint32(m.Kind),
		From:     string(m.From),
		To:       string(m.To),
		Term:     m.Term,
		LogIndex: m.LogIndex,
		LogTerm:  m.LogTerm,
		Commit:   m.Commit,
		Reject:   m.Reject,
		Hint:     m.Hint,
		Round:    m.Round,
		Transfer: m.Transfer,
		Cold:     m.ColdStart,

		UptimeNanos: int64(m.Uptime),
	}
	for _, e := range m.Entries {
		out.Entries = append(out.Entries, fromEntry(e))
	}
	if s := m.Snapshot; s != nil {
		out.Snapshot = &api.Snapshot{Index: s.Index, Term: s.Term, Members: fromMembers(s.Members), Data: s.Data}
	}
	return out
}

func toConsensus(p *api.Consensus) consensus.Message {
	out := consensus.Message{
		Kind:      consensus.MessageKind(p.GetKind()),
		From:      consensus.ReplicaID(p.GetFrom()),
		To:        consensus.ReplicaID(p.GetTo()),
		Term:      p.GetTerm(),
		LogIndex:  p.GetLogIndex(),
		LogTerm:   p.GetLogTerm(),
		Commit:    p.GetCommit(),
		Reject:    p.GetReject(),
		Hint:      p.GetHint(),
		Round:     p.GetRound(),
		Transfer:  p.GetTransfer(),
		ColdStart: p.GetCold(),
		Uptime:    time.Duration(p.GetUptimeNanos()),
	}
	for _, e := range p.GetEntries() {
		out.Entries = append(out.Entries, toEntry(e))
	}
	if s := p.GetSnapshot(); s != nil {
		out.Snapshot = &consensus.Snapshot{
			Index: s.GetIndex(), Term: s.GetTerm(), Members: toMembers(s.GetMembers()), Data: s.GetData(),
		}
	}
	return out
}

func fromEntry(e consensus.Entry) *api.Entry {
	return &api.Entry{
		Term: e.Term, Index: e.Index, Kind: uint32(e.Kind), Data: e.Data, Members: fromMembers(e.Members),
	}
}

func toEntry(p *api.Entry) consensus.Entry {
	return consensus.Entry{
		Term:    p.GetTerm(),
		Index:   p.GetIndex(),
		Kind:    consensus.EntryKind(p.GetKind()),
		Data:    p.GetData(),
		Members: toMembers(p.GetMembers()),
	}
}

func fromMembers(m consensus.Members) *api.Members {
	return &api.Members{Voters: nodeNames(m.Voters), Learners: nodeNames(m.Learners)}
}

func toMembers(p *api.Members) consensus.Members {
	return consensus.Members{Voters: nodeIDs(p.GetVoters()), Learners: nodeIDs(p.GetLearners())}
}

func nodeNames(ids []consensus.ReplicaID) []string {
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		out = append(out, string(id))
	}
	return out
}

func nodeIDs(names []string) []consensus.ReplicaID {
	out := make([]consensus.ReplicaID, 0, len(names))
	for _, n := range names {
		out = append(out, consensus.ReplicaID(n))
	}
	return out
}
