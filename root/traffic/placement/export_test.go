package placement

// Granted reports whether the queued request has been placed.
func Granted(q *QueuedRequest) bool {
	select {
	case res := <-q.result:
		return res.run != nil
	default:
		return false
	}
}

// Refusal returns the error that ended the wait in the queue, or nil if there is
// none.
func Refusal(q *QueuedRequest) error {
	select {
	case res := <-q.result:
		return res.err
	default:
		return nil
	}
}
