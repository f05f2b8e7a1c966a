package loop

import (
	"context"
	"sync/atomic"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// Inbox sizes. A kept event waits for room; a soft one is dropped and counted.
const (
	keptCapacity = 4096
	softCapacity = 1024
)

// inbox is the one way into the control thread.
type inbox struct {
	kept    chan machine.Event
	soft    chan machine.Event
	dropped atomic.Uint64
}

func newInbox() *inbox {
	return &inbox{
		kept: make(chan machine.Event, keptCapacity),
		soft: make(chan machine.Event, softCapacity),
	}
}

// isSoft reports whether an event may be dropped when the inbox is full: what
// it says is said again within a renew or heartbeat interval.
func isSoft(ev machine.Event) bool {
	switch ev := ev.(type) {
	case machine.Traffic:
		return true
	case machine.Announced:
		// The end of a server's work is acknowledged to it once it was taken.
		return ev.Server.State == fleet.Active
	case machine.Received:
		return isSoftMessage(ev.Message)
	default:
		return false
	}
}

func isSoftMessage(msg machine.Message) bool {
	switch msg.(type) {
	case machine.Proposed:
		return false
	default:
		return true
	}
}

// post hands over one event. A soft event never blocks; a kept one blocks
// until there is room or ctx ends.
func (b *inbox) post(ctx context.Context, ev machine.Event) error {
	if isSoft(ev) {
		select {
		case b.soft <- ev:
		default:
			b.dropped.Add(1)
		}
		return nil
	}
	select {
	case b.kept <- ev:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
