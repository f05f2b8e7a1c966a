// Package encode encodes snapshots of the replicated state outside the control
// thread, because encoding a large ledger can take longer than a heartbeat interval
// and would delay heartbeats.
package encode

import (
	"context"

	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

const part = "control/encode"

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
// snapshot; otherwise it may block.
func (e *Encoder) Submit(s machine.EncodeSnapshot) { e.queue <- s }

// Serve encodes submitted snapshots until ctx ends. A panic in the encoding is an error
// of the result. The result can be lost if ctx ends during the encoding.
func (e *Encoder) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-e.queue:
			e.done(ctx, e.result(s))
		}
	}
}

func (e *Encoder) result(s machine.EncodeSnapshot) machine.SnapshotEncoded {
	out := machine.SnapshotEncoded{Index: s.Index}
	out.Err = supervise.Catch(part, func() (err error) {
		out.Data, err = e.encode(s.State)
		return err
	})
	return out
}
