package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// endingRetry is the suggested delay before a retry of a request that this process can't
// serve any more. Other processes can.
const endingRetry = 50 * time.Millisecond

// ending is when a process that stops answers its last request.
type ending struct {
	at atomic.Pointer[time.Time]
	// reached ends at that time.
	reached context.Context
	reach   context.CancelFunc
}

func newEnding() *ending {
	e := &ending{}
	e.reached, e.reach = context.WithCancel(context.Background())
	return e
}

// EndAt makes the relay refuse requests that may last beyond the given time, and answer at
// that time those that are still being served.
func (r *Relay) EndAt(at time.Time) {
	r.ending.at.Store(&at)
	time.AfterFunc(time.Until(at), r.ending.reach)
}

// refuse returns an error if a request with this deadline may outlast the process.
func (e *ending) refuse(deadline time.Time) *fault.Error {
	if at := e.at.Load(); at != nil && deadline.After(*at) {
		return fault.New(fault.Stopping, part, "this entry stops before the request's deadline").WithRetryAfter(endingRetry)
	}
	return nil
}
