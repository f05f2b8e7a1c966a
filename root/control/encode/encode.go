// Package encode encodes snapshots of the replicated state outside the control
// thread, because encoding a large ledger takes longer than a heartbeat interval.
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

// Submit queues a snapshot. It does not block as long as the caller waits for the
// result of one snapshot before it submits the next, as the control thread does. That
// thread submits no further snapshot if a result is lost; see Serve.
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
