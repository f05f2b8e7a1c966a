// Package encode turns snapshots of the replicated state into bytes beside the
// control thread: a large ledger takes longer than a heartbeat.
package encode

import (
	"context"

	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// Encoder is the service that encodes snapshots, one at a time.
type Encoder struct {
	queue  chan machine.EncodeSnapshot
	encode func(replicated.Snapshot) ([]byte, error)
	done   func(context.Context, machine.SnapshotEncoded)
}

// New returns an encoder. done hands the result to the control thread.
func New(
	encode func(replicated.Snapshot) ([]byte, error),
	done func(context.Context, machine.SnapshotEncoded),
) *Encoder {
	return &Encoder{queue: make(chan machine.EncodeSnapshot, 1), encode: encode, done: done}
}

// Submit queues a snapshot and returns at once. The control thread has at most
// one under way.
func (e *Encoder) Submit(s machine.EncodeSnapshot) { e.queue <- s }

// Serve runs until ctx ends.
func (e *Encoder) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-e.queue:
			data, err := e.encode(s.State)
			e.done(ctx, machine.SnapshotEncoded{Index: s.Index, Data: data, Err: err})
		}
	}
}
