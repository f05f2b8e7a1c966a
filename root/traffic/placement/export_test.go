package placement

// Placed reports whether the queued request has been placed. It consumes the
// result.
func Placed(q *QueuedRequest) bool {
	select {
	case res := <-q.result:
		return res.run != nil
	default:
		return false
	}
}

// QueueError returns the error with which the request left the queue, or nil if
// there is none. It consumes the result.
func QueueError(q *QueuedRequest) error {
	select {
	case res := <-q.result:
		return res.err
	default:
		return nil
	}
}

// NoticeCount returns the number of servers whose notices are kept.
func NoticeCount(s *State) int { return len(s.notices) }
