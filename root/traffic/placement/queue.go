package placement

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// maxConcurrentPrefills is the number of prompts that all entries together may
// have at one prefill engine. More would only queue there, and their KV cache
// would evict segments that later prompts share. Each entry may always have one, so
// the bound does not hold with more entries than this.
const maxConcurrentPrefills = 8

// QueuedRequest is a request in this entry's queue for one server.
type QueuedRequest struct {
	server         *server
	request        Request
	candidate      Candidate
	candidateCount int
	deadline       time.Time
	// result receives one result when the request leaves the queue, unless dequeue
	// removes it.
	result chan queueResult
}

// queueResult holds a run or an error, or neither if the request must be placed
// again.
type queueResult struct {
	run *Run
	err *fault.Error
}

// maxOwnPrefills is this entry's share of maxConcurrentPrefills.
func (s *State) maxOwnPrefills() int { return max(1, maxConcurrentPrefills/s.Entries()) }

// mustQueue reports whether the request has to queue for the chosen server.
func (s *State) mustQueue(req *Request, srv *server) bool {
	return req.Stage == Prefill && (srv.ownRunning >= s.maxOwnPrefills() || len(srv.queue) > 0)
}

// enqueue appends the request to its server's queue.
func (s *State) enqueue(now time.Time, req Request, c Candidate, candidateCount int) *QueuedRequest {
	srv := s.byID[c.Server.ID]
	item := &QueuedRequest{server: srv, request: req, candidate: c, candidateCount: candidateCount, result: make(chan queueResult, 1)}
	if req.FirstOutputTimeout > 0 {
		item.deadline = now.Add(req.FirstOutputTimeout)
	}
	srv.queue = append(srv.queue, item)
	return item
}

// dequeue removes the request from its queue. It returns false if the request is
// no longer queued; result then holds its result.
func (s *State) dequeue(item *QueuedRequest) bool {
	i := slices.Index(item.server.queue, item)
	if i < 0 {
		return false
	}
	item.server.queue = slices.Delete(item.server.queue, i, i+1)
	return true
}

// serveQueue starts queued requests while this entry's share of the server
// allows. It refuses those whose prefill would end after the caller's timeout.
func (s *State) serveQueue(now time.Time, srv *server) {
	for len(srv.queue) > 0 && srv.ownRunning < s.maxOwnPrefills() {
		item := srv.queue[0]
		srv.queue = srv.queue[1:]
		prefillTime := s.prefillModel(&item.request).predict(item.candidate.UncachedTokens)
		if !item.deadline.IsZero() && now.Add(prefillTime).After(item.deadline) {
			item.result <- queueResult{err: errPrefillTooSlow(prefillTime, item.deadline.Sub(now))}
			continue
		}
		item.result <- queueResult{run: s.begin(now, item.request, item.candidate, item.candidateCount)}
	}
}

// flushQueue empties the server's queue; its requests are placed again.
func (srv *server) flushQueue() {
	for _, item := range srv.queue {
		item.result <- queueResult{}
	}
	srv.queue = nil
}

// ownQueuedTokens returns the uncached prompt tokens of the requests in this entry's
// queue for the server.
func (srv *server) ownQueuedTokens() float64 {
	sum := 0.0
	for _, item := range srv.queue {
		sum += item.candidate.UncachedTokens
	}
	return sum
}

func errPrefillTooSlow(prefillTime, timeout time.Duration) *fault.Error {
	err := fault.New(fault.Overloaded, part, "predicted prefill time %s exceeds the caller's timeout", prefillTime.Round(time.Millisecond))
	return err.WithRetryAfter(max(overloadedRetry, prefillTime-timeout))
}
