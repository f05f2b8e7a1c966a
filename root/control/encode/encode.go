// Package encode encodes snapshots of the replicated state outside the control
// thread, because encoding a large ledger can take longer than a heartbeat interval
// and would delay heartbeats.
package encode

import (
	"context"

	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// Encoder is a service that encodes one snapshot at a time.
type Encoder struct {
	queue  chan machine.EncodeSnapshot
	encode func(replicated.Snapshot) ([]byte, error)
	done   func(context.Context, machine.SnapshotEncoded)
}

// New returns an encoder that passes each result to done.
func New(
	encode func(replicated.Snapshot) ([]byte, error),
	done func(context.Context, machine.SnapshotEncoded),
) *Encoder {
	return &Encoder{queue: make(chan machine.EncodeSnapshot, 1), encode: encode, done: done}
}

// Submit queues a snapshot. It must not be called again before the result of the last
// snapshot; otherwise it may block. After a lost result (see Serve), the control thread
// submits no more snapshots for compaction until the process restarts.
func (e *Encoder) Submit(s machine.EncodeSnapshot) { e.queue <- s }

// Serve encodes submitted snapshots until ctx ends. The result of a snapshot is lost
// if its encoding panics, and can be lost if ctx ends during the encoding.
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
