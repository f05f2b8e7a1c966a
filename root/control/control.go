// Package control assembles the control thread and its supervisor.
package control

import (
	"context"
	"time"

	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/clock"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/encode"
	"github.com/wagtaildyke/wagtaildyke/root/control/loop"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

// passivePackages are the packages that run on the control thread. The supervisor
// tree lists them as parts without a goroutine of their own.
var passivePackages = []string{
	"machine", "consensus", "replicated", "table", "routes", "ledger", "authority", "fleet", "roles", "quarantine", "view",
}

// Parameters of the replicated log, for VMs a few milliseconds apart.
const (
	electionTimeout   = 600 * time.Millisecond
	heartbeatInterval = 200 * time.Millisecond
	maxBatchBytes     = 1 << 20
)

// Options configure the control state of one process.
type Options struct {
	Machine machine.Config
	// Replica is nil in a process without a replica.
	Replica *ReplicaOptions
	// Handlers execute the effects of the control thread. New sets Encode.
	Handlers loop.Handlers
	// Parent is the node that the control subtree is added to.
	Parent *supervise.Node
}

// ReplicaOptions configure the replica of the process.
type ReplicaOptions struct {
	ID consensus.ReplicaID
	// Bootstrap is the initial membership, used if Restored is empty.
	Bootstrap consensus.Members
	// Restored is the state read from storage.
	Restored consensus.DurableState
}

// New adds the control subtree to o.Parent and returns the loop of the control
// thread.
func New(o Options) (*loop.Loop, error) {
	node := o.Parent.Supervisor("control")
	m, err := newMachine(o)
	if err != nil {
		return nil, err
	}
	var l *loop.Loop
	encoder := encode.New(codec.EncodeSnapshot, func(ctx context.Context, done machine.SnapshotEncoded) {
		// SnapshotEncoded is a reliable event: Post fails only when ctx ends, because
		// the supervisor stops or restarts the encoder. The result is then lost.
		_ = l.Post(ctx, done)
	})
	o.Handlers.Encode = encoder.Submit
	l = loop.New(m, o.Handlers, o.Machine.Self.Incarnation, clock.Now, node.Log().WithName("loop"))
	node.Service("loop", l)
	if o.Replica != nil {
		node.Service("encode", encoder)
	}
	for _, name := range passivePackages {
		node.Passive(name)
	}
	return l, nil
}

func newMachine(o Options) (*machine.Machine, error) {
	now := clock.Now()
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

// logCodec encodes and decodes log entries and decodes snapshots.
type logCodec struct{}

func (logCodec) EncodeCommand(c replicated.Command) ([]byte, error) { return codec.EncodeCommand(c) }

func (logCodec) DecodeCommand(b []byte) (replicated.Command, error) { return codec.DecodeCommand(b) }

func (logCodec) DecodeSnapshot(b []byte) (replicated.Snapshot, error) { return codec.DecodeSnapshot(b) }
