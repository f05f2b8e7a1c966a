package peers

import (
	"sync/atomic"
	"time"
)

// Queue sizes per peer in frames. A full queue drops its newest frame: every
// message is sent again by its own timer.
const (
	urgentQueue = 1024
	bulkQueue   = 64
)

// urgentLimitBytes is the largest frame on the urgent stream. Larger ones take
// the bulk stream, so that a snapshot does not delay a heartbeat.
const urgentLimitBytes = 64 << 10

// queue holds frames for one peer.
type queue struct {
	urgent, bulk chan []byte
	dropped      atomic.Uint64
	made         time.Time
}

func newQueue() *queue {
	return &queue{urgent: make(chan []byte, urgentQueue), bulk: make(chan []byte, bulkQueue), made: time.Now()}
}

func (q *queue) push(frame []byte) {
	ch := q.urgent
	if len(frame) > urgentLimitBytes {
		ch = q.bulk
	}
	select {
	case ch <- frame:
	default:
		q.dropped.Add(1)
	}
}
