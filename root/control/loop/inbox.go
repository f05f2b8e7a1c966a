package loop

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// Capacities of the queues of an inbox. When its queue is full, posting a reliable
// event blocks, while a droppable event is dropped and counted.
const (
	reliableCapacity  = 4096
	droppableCapacity = 1024
)

// inbox holds two queues of events for the control thread. Events of different queues
// may overtake each other.
type inbox struct {
	reliable  chan queuedEvent
	droppable chan queuedEvent
	dropped   atomic.Uint64
}

// queuedEvent is an event and when it was posted.
type queuedEvent struct {
	machine.Event
	postedAt time.Time
}

func newInbox() *inbox {
	return &inbox{
		reliable:  make(chan queuedEvent, reliableCapacity),
		droppable: make(chan queuedEvent, droppableCapacity),
	}
}

// isDroppable reports whether an event may be dropped when its queue is full. The
// sender repeats such an event, or this process repeats the request that it answers.
func isDroppable(ev machine.Event) bool {
	switch ev := ev.(type) {
	case machine.TrafficReport:
		return true
	case machine.Announced:
		// A server that drains or leaves is acknowledged once Post returns and may not
		// announce it again.
		return ev.Server.State == fleet.Active
	case machine.Received:
		return isDroppableMessage(ev.Message)
	default:
		return false
	}
}

// isDroppableMessage reports whether a message from another process may be dropped. A
// Proposed may not, because the leader sends it once. Without it, this process resends
// the Propose, which the leader may commit a second time.
func isDroppableMessage(msg machine.Message) bool {
	switch msg.(type) {
	case machine.Proposed:
		return false
	default:
		return true
	}
}

// post enqueues an event. For a reliable event it blocks until there is space or ctx
// ends. For a droppable one it never blocks.
func (b *inbox) post(ctx context.Context, ev machine.Event) error {
	queued := queuedEvent{Event: ev, postedAt: time.Now()}
	if isDroppable(ev) {
		select {
		case b.droppable <- queued:
		default:
			b.dropped.Add(1)
		}
		return nil
	}
	select {
	case b.reliable <- queued:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
