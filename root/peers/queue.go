package peers

import (
	"sync/atomic"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// Queue sizes per peer, in messages. A full queue drops new messages, because their
// senders repeat them on timers.
const (
	urgentQueueSize = 1024
	bulkQueueSize   = 64
)

// maxUrgentFrameBytes is the largest frame on the urgent stream. Larger frames use the
// bulk stream, so that a snapshot does not delay heartbeats.
const maxUrgentFrameBytes = 64 << 10

// queue holds the messages to send to one peer. The goroutine that writes a message
// also encodes it, to keep that work off the control thread.
type queue struct {
	urgent chan machine.Message
	bulk   chan []byte
	// dropped counts the messages that did not fit. Stats doesn't include it.
	dropped   atomic.Uint64
	createdAt time.Time
}

func newQueue() *queue {
	return &queue{urgent: make(chan machine.Message, urgentQueueSize), bulk: make(chan []byte, bulkQueueSize), createdAt: time.Now()}
}

// push queues a message. It never blocks.
func (q *queue) push(msg machine.Message) {
	select {
	case q.urgent <- msg:
	default:
		q.dropped.Add(1)
	}
}

// pushBulk queues a frame that is too large for the urgent stream.
func (q *queue) pushBulk(frame []byte) {
	select {
	case q.bulk <- frame:
	default:
		q.dropped.Add(1)
	}
}
