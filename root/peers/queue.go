package peers

import (
	"sync/atomic"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// Queue sizes per peer in messages. A full queue drops its newest one: every
// message is sent again by its own timer.
const (
	urgentQueue = 1024
	bulkQueue   = 64
)

// urgentLimitBytes is the largest frame on the urgent stream. Larger ones take
// the bulk stream, so that a snapshot does not delay a heartbeat.
const urgentLimitBytes = 64 << 10

// queue holds what is to be sent to one peer. Messages are encoded by the thread
// that writes them, so that the control thread only hands them over.
type queue struct {
	urgent  chan machine.Message
	bulk    chan []byte
	dropped atomic.Uint64
	made    time.Time
}

func newQueue() *queue {
	return &queue{urgent: make(chan machine.Message, urgentQueue), bulk: make(chan []byte, bulkQueue), made: time.Now()}
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
