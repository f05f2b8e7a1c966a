package codec

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wagtaildyke/wagtaildyke/api"
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// maxFrameBytes bounds a frame between processes; a snapshot must fit.
const maxFrameBytes = MaxSnapshotBytes + 1<<20

// Hello opens a session between two processes.
type Hello struct {
	VM          string
	Incarnation uint64
	Cluster     string
}

// EncodeHello returns the frame of a Hello.
func EncodeHello(h Hello) ([]byte, error) {
	return marshalEnvelope(&api.Envelope{Body: &api.Envelope_Hello{Hello: &api.Hello{
		Vm: h.VM, Incarnation: h.Incarnation, Cluster: h.Cluster,
	}}})
}

// DecodeHello reads the frame of a Hello.
func DecodeHello(frame []byte) (Hello, error) {
	env, err := unmarshalEnvelope(frame)
	if err != nil {
		return Hello{}, err
	}
	h := env.GetHello()
	if h == nil || h.Vm == "" {
		return Hello{}, fault.New(fault.Invalid, part, "the session did not open with a hello")
	}
	return Hello{VM: h.Vm, Incarnation: h.Incarnation, Cluster: h.Cluster}, nil
}

// EncodeMessage returns the frame of a message between processes.
func EncodeMessage(m machine.Message) ([]byte, error) {
	env, err := envelope(m)
	if err != nil {
		return nil, err
	}
	return marshalEnvelope(env)
}

// DecodeMessage reads the frame of a message between processes.
func DecodeMessage(frame []byte) (machine.Message, error) {
	env, err := unmarshalEnvelope(frame)
	if err != nil {
		return nil, err
	}
	switch b := env.Body.(type) {
	case *api.Envelope_Renew:
		return toRenew(b.Renew), nil
	case *api.Envelope_Grant:
		return toGrant(b.Grant)
	case *api.Envelope_NotLeader:
		return machine.NotLeader{Leader: b.NotLeader.Leader, Proposal: b.NotLeader.Proposal}, nil
	case *api.Envelope_Propose:
		cmd, err := DecodeCommand(b.Propose.Command)
		return machine.Propose{ID: b.Propose.Id, Command: cmd}, err
	case *api.Envelope_Proposed:
		res, err := DecodeResult(b.Proposed.Result)
		return machine.Proposed{ID: b.Proposed.Id, Result: res}, err
	case *api.Envelope_Consensus:
		return machine.ConsensusMessage{Message: toConsensus(b.Consensus)}, nil
	default:
		return nil, fault.New(fault.Invalid, part, "frame of an unknown type")
	}
}

func envelope(m machine.Message) (*api.Envelope, error) {
	switch m := m.(type) {
	case machine.Renew:
		return &api.Envelope{Body: &api.Envelope_Renew{Renew: fromRenew(m)}}, nil
	case machine.Grant:
		grant, err := fromGrant(m)
		return &api.Envelope{Body: &api.Envelope_Grant{Grant: grant}}, err
	case machine.NotLeader:
		body := &api.NotLeader{Leader: m.Leader, Proposal: m.Proposal}
		return &api.Envelope{Body: &api.Envelope_NotLeader{NotLeader: body}}, nil
	case machine.Propose:
		data, err := EncodeCommand(m.Command)
		body := &api.Propose{Id: m.ID, Command: data}
		return &api.Envelope{Body: &api.Envelope_Propose{Propose: body}}, err
	case machine.Proposed:
		data, err := EncodeResult(m.Result)
		body := &api.Proposed{Id: m.ID, Result: data}
		return &api.Envelope{Body: &api.Envelope_Proposed{Proposed: body}}, err
	case machine.ConsensusMessage:
		return &api.Envelope{Body: &api.Envelope_Consensus{Consensus: fromConsensus(m.Message)}}, nil
	default:
		return nil, fault.New(fault.Internal, part, "message of unknown type %T", m)
	}
}

func marshalEnvelope(env *api.Envelope) ([]byte, error) { return marshal(env, maxFrameBytes) }

func unmarshalEnvelope(frame []byte) (*api.Envelope, error) {
	// Unlike a log entry, a frame may have fields of a newer release.
	env := &api.Envelope{}
	if err := proto.Unmarshal(frame, env); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, part, "can't decode a frame")
	}
	return env, nil
}

func fromRenew(m machine.Renew) *api.Renew {
	out := &api.Renew{
		Vm:            fromVM(m.VM),
		SentNanos:     int64(m.SentAt),
		ViewTerm:      m.ViewTerm,
		ViewSeq:       m.ViewSeq,
		TableVersion:  m.TableVersion,
		RoutesVersion: m.RoutesVersion,
		ReplicaId:     string(m.Replica),
		Stopped:       m.Stopped,
		Loads:         fromOwnLoads(m.Loads),
		LoadsTerm:     m.LoadsTerm,
		LoadsSeq:      m.LoadsSeq,
		Demands:       fromDemands(m.Demands),

		SegmentLosses:     fromLosses(m.SegmentLosses),
		CompletedSegments: completedSegments(m.CompletedSegments),
		CompletedAgeNanos: completionAges(m.CompletedSegments),
		FailedProbes:      fromFailedProbes(m.FailedProbes),
		ProbeRequests:     fromProbeRequests(m.ProbeRequests),
		ServerDemands:     fromServerDemands(m.ServerDemands),
	}
	for _, h := range m.Heard {
		out.Heard = append(out.Heard, &api.Heard{Server: fromServer(h.Server), AgeNanos: int64(h.Age)})
	}
	return out
}

func toRenew(p *api.Renew) machine.Renew {
	out := machine.Renew{
		VM:            toVM(p.GetVm()),
		SentAt:        time.Duration(p.SentNanos),
		ViewTerm:      p.ViewTerm,
		ViewSeq:       p.ViewSeq,
		TableVersion:  p.TableVersion,
		RoutesVersion: p.RoutesVersion,
		Replica:       consensus.ReplicaID(p.ReplicaId),
		Stopped:       p.Stopped,
		Loads:         toOwnLoads(p.Loads),
		LoadsTerm:     p.LoadsTerm,
		LoadsSeq:      p.LoadsSeq,
		Demands:       toDemands(p.Demands),

		SegmentLosses:     toLosses(p.SegmentLosses),
		CompletedSegments: toCompletions(p.CompletedSegments, p.CompletedAgeNanos),
		FailedProbes:      toFailedProbes(p.FailedProbes),
		ProbeRequests:     toProbeRequests(p.ProbeRequests),
		ServerDemands:     toServerDemands(p.ServerDemands),
	}
	for _, h := range p.Heard {
		out.Heard = append(out.Heard, toHeard(h))
	}
	return out
}

func fromGrant(m machine.Grant) (*api.Grant, error) {
	out := &api.Grant{
		EchoNanos:  int64(m.Echo),
		Term:       m.Term,
		LeaseNanos: int64(m.Lease),
		Seq:        m.Seq,
		Shares:     fromShares(m.Shares),
		Left:       m.Left,
		Confirm:    m.Confirm,

		ServerShares:  fromServerShares(m.ServerShares),
		GrantedProbes: m.GrantedProbes,
	}
	update, err := fromUpdate(m.Update)
	out.Update = update
	return out, err
}

func toGrant(p *api.Grant) (machine.Grant, error) {
	out := machine.Grant{
		Echo:    time.Duration(p.EchoNanos),
		Term:    p.Term,
		Lease:   time.Duration(p.LeaseNanos),
		Seq:     p.Seq,
		Shares:  toShares(p.Shares),
		Left:    p.Left,
		Confirm: p.Confirm,

		ServerShares:  toServerShares(p.ServerShares),
		GrantedProbes: p.GrantedProbes,
	}
	update, err := toUpdate(p.Update)
	out.Update = update
	return out, err
}
