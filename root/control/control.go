// Package control builds the supervisor of the control thread.
package control

import (
	"context"
	"time"

	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/encode"
	"github.com/wagtaildyke/wagtaildyke/root/control/loop"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

// passive are the decision packages that the control thread calls.
var passive = []string{
	"machine", "consensus", "replicated", "table", "routes", "ledger", "authority", "fleet", "roles", "view",
}

// Timing of the replicated log for VMs a few milliseconds apart.
const (
	electionTimeout   = 600 * time.Millisecond
	heartbeatInterval = 200 * time.Millisecond
	maxBatchBytes     = 1 << 20
)

// Options describe the control state of one process.
type Options struct {
	Machine machine.Config
	// Replica is nil in a process without a replica part.
	Replica  *ReplicaOptions
	Outlets  loop.Outlets
	Ancestor *supervise.Node
}

// ReplicaOptions describe the replica part.
type ReplicaOptions struct {
	ID        consensus.NodeID
	Bootstrap consensus.Members
	Restored  consensus.Restored
}

// New adds the control subtree below o.Ancestor and returns its loop.
func New(o Options) (*loop.Loop, error) {
	node := o.Ancestor.Supervisor("control")
	m, err := newMachine(o)
	if err != nil {
		return nil, err
	}
	var l *loop.Loop
	encoder := encode.New(codec.EncodeSnapshot, func(ctx context.Context, done machine.SnapshotEncoded) {
		// The inbox keeps this event; it is lost only when the process stops.
		_ = l.Post(ctx, done)
	})
	o.Outlets.Encode = encoder.Submit
	l = loop.New(m, o.Outlets, o.Machine.Self.Incarnation, node.Log().WithName("loop"))
	node.Service("loop", l)
	if o.Replica != nil {
		node.Service("encode", encoder)
	}
	for _, name := range passive {
		node.Passive(name)
	}
	return l, nil
}

func newMachine(o Options) (*machine.Machine, error) {
	now := time.Now()
	if o.Replica == nil {
		return machine.New(o.Machine, now), nil
	}
	return machine.NewReplica(o.Machine, machine.ReplicaConfig{
		Consensus: consensus.Config{
			ID:                o.Replica.ID,
			ElectionTimeout:   electionTimeout,
			HeartbeatInterval: heartbeatInterval,
			MaxClockDrift:     o.Machine.Timing.MaxClockDrift,
			MaxBatchBytes:     maxBatchBytes,
			Seed:              o.Machine.Self.Incarnation,
		},
		Bootstrap: o.Replica.Bootstrap,
		Restored:  o.Replica.Restored,
		Codec:     logCodec{},
	}, now)
}

// logCodec is the codec of the log.
type logCodec struct{}

func (logCodec) EncodeCommand(c replicated.Command) ([]byte, error) { return codec.EncodeCommand(c) }

func (logCodec) DecodeCommand(b []byte) (replicated.Command, error) { return codec.DecodeCommand(b) }

func (logCodec) DecodeSnapshot(b []byte) (replicated.Snapshot, error) { return codec.DecodeSnapshot(b) }
