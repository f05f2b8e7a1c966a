package codec

import (
	"slices"

	"github.com/wagtaildyke/wagtaildyke/api"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// EncodeSnapshot encodes the whole replicated state. The error is of kind
// fault.Invalid, or fault.TooLarge above MaxSnapshotBytes.
func EncodeSnapshot(s replicated.Snapshot) ([]byte, error) {
	document, err := fromRoutes(s.Routes)
	if err != nil {
		return nil, err
	}
	m := &api.LogSnapshot{
		Index:     s.Index,
		NowMs:     s.Now,
		Table:     fromTable(s.Table),
		Ledger:    fromLedger(s.Ledger),
		Authority: fromAuthority(s.Authority),
		Routes:    document,
	}
	m.Quarantine = fromQuarantine(s.Quarantine)
	for _, id := range sortedKeys(s.Fleet) {
		m.Fleet = append(m.Fleet, fromRecordedServers([]fleet.Server{s.Fleet[id]})...)
	}
	for _, id := range sortedKeys(s.Drains) {
		d := s.Drains[id]
		m.Drains = append(m.Drains, &api.LogDrain{Id: id, By: d.Operator, SinceMs: d.Since})
	}
	for _, id := range sortedKeys(s.Fencing) {
		f := s.Fencing[id]
		m.Fencing = append(m.Fencing, &api.LogSetFencing{Server: id, Checks: f.Checks, By: f.Operator, AtMs: f.At})
	}
	data, err := marshal(m, MaxSnapshotBytes)
	if err != nil {
		return nil, err
	}
	return appendRecords(data, s.Ledger)
}

const (
	// recordsPerChunk bounds the records that are converted at once.
	recordsPerChunk = 1024
	// recordBytes is the room made for one record, in bytes.
	recordBytes = 320
)

// appendRecords appends the records of the ledger in chunks. A decoder joins
// them: protobuf merges a message that comes in several parts.
func appendRecords(data []byte, s ledger.Snapshot) ([]byte, error) {
	data = slices.Grow(data, s.Len()*recordBytes)
	chunk := new(api.LogLedger)
	m := &api.LogSnapshot{Ledger: chunk}
	var err error
	for r := range s.Records() {
		chunk.Records = append(chunk.Records, fromRecord(r))
		if len(chunk.Records) < recordsPerChunk {
			continue
		}
		if data, err = marshalAppend(data, m, MaxSnapshotBytes); err != nil {
			return nil, err
		}
		chunk.Records = chunk.Records[:0]
	}
	return marshalAppend(data, m, MaxSnapshotBytes)
}

// DecodeSnapshot decodes the whole replicated state. The error is of kind
// fault.Corrupt.
func DecodeSnapshot(data []byte) (replicated.Snapshot, error) {
	m := new(api.LogSnapshot)
	if err := unmarshal(data, m, MaxSnapshotBytes); err != nil {
		return replicated.Snapshot{}, err
	}
	return toSnapshot(m)
}

func toSnapshot(m *api.LogSnapshot) (replicated.Snapshot, error) {
	none := replicated.Snapshot{}
	out := replicated.Snapshot{
		Index:   m.Index,
		Now:     m.NowMs,
		Drains:  make(map[string]replicated.Drain, len(m.Drains)),
		Fencing: make(map[string]replicated.FencingSetting, len(m.Fencing)),
	}
	var err error
	if out.Table, err = toTable(m.Table); err != nil {
		return none, err
	}
	if out.Ledger, err = toLedger(m.Ledger); err != nil {
		return none, err
	}
	if out.Authority, err = toAuthority(m.Authority); err != nil {
		return none, err
	}
	out.Quarantine = toQuarantine(m.Quarantine)
	servers, err := toRecordedServers(m.Fleet)
	if err != nil {
		return none, err
	}
	for _, server := range servers {
		if out.Fleet == nil {
			out.Fleet = make(map[string]fleet.Server, len(servers))
		}
		out.Fleet[server.ID] = server
	}
	if out.Routes, err = toRoutes(m.Routes); err != nil {
		return none, err
	}
	for _, d := range m.Drains {
		out.Drains[d.Id] = replicated.Drain{Operator: d.By, Since: d.SinceMs}
	}
	for _, f := range m.Fencing {
		out.Fencing[f.Server] = replicated.FencingSetting{Checks: f.Checks, Operator: f.By, At: f.AtMs}
	}
	return out, nil
}

func fromAuthority(s authority.Snapshot) *api.LogAuthority {
	m := &api.LogAuthority{Dead: fromIncarnations(s.Dead)}
	for _, server := range s.Servers {
		m.Servers = append(m.Servers, &api.LogServer{
			Id:     server.ID,
			Holder: fromHolder(server.Holder),
			Fence:  server.Fence,
			Former: fromHolders(server.FormerHolders),
			Order:  fromOrder(server.Order),
		})
	}
	for _, c := range s.Confirmations {
		m.Confirmations = append(m.Confirmations, fromConfirmDead(c))
	}
	for _, o := range s.Proposals {
		m.Proposals = append(m.Proposals, &api.LogProposedOrder{
			Proposal: &api.LogProposal{Vm: o.Proposal.VM, Id: o.Proposal.ID},
			Server:   o.Server,
			Order:    fromOrder(o.Order),
			AtMs:     o.At,
		})
	}
	return m
}

func toAuthority(m *api.LogAuthority) (authority.Snapshot, error) {
	out := authority.Snapshot{Dead: toIncarnations(m.GetDead())}
	for _, server := range m.GetServers() {
		order, err := toOrder(server.Order)
		if err != nil {
			return authority.Snapshot{}, err
		}
		out.Servers = append(out.Servers, authority.Server{
			ID:            server.Id,
			Holder:        toHolder(server.Holder),
			Fence:         server.Fence,
			FormerHolders: toHolders(server.Former),
			Order:         order,
		})
	}
	for _, c := range m.GetConfirmations() {
		out.Confirmations = append(out.Confirmations, toConfirmDead(c))
	}
	for _, o := range m.GetProposals() {
		order, err := toOrder(o.Order)
		if err != nil {
			return authority.Snapshot{}, err
		}
		out.Proposals = append(out.Proposals, authority.ProposedOrder{
			Proposal: authority.Proposal{VM: o.Proposal.GetVm(), ID: o.Proposal.GetId()},
			Server:   o.Server,
			Order:    order,
			At:       o.AtMs,
		})
	}
	return out, nil
}

func fromIncarnations(incarnations map[string]uint64) []*api.LogHolder {
	var out []*api.LogHolder
	for _, vm := range sortedKeys(incarnations) {
		out = append(out, &api.LogHolder{Vm: vm, Incarnation: incarnations[vm]})
	}
	return out
}

func toIncarnations(ms []*api.LogHolder) map[string]uint64 {
	out := make(map[string]uint64, len(ms))
	for _, m := range ms {
		out[m.Vm] = m.Incarnation
	}
	return out
}
