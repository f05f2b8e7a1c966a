package engine

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxSentEvents bounds the events that SentEvents keeps.
const maxSentEvents = 64 << 10

// SentEvents keeps digests of the numbered events that a caller was sent, so that events
// that another server repeats can be compared with them.
type SentEvents struct{ events []sentEvent }

type sentEvent struct{ number, digest uint64 }

// Add records an event. It drops events with the same number or higher ones, which the
// caller did not get. Events beyond maxSentEvents are not kept.
func (s *SentEvents) Add(number uint64, content []byte) {
	i, _ := s.search(number)
	if i < maxSentEvents {
		s.events = append(s.events[:i], sentEvent{number, xxhash.Sum64(content)})
	}
}

// Contains reports whether an event with the number and the content was sent. It is false
// for an event that was not kept.
func (s *SentEvents) Contains(number uint64, content []byte) bool {
	i, found := s.search(number)
	return found && s.events[i].digest == xxhash.Sum64(content)
}

// Empty reports whether no event was sent.
func (s *SentEvents) Empty() bool { return len(s.events) == 0 }

func (s *SentEvents) search(number uint64) (int, bool) {
	return slices.BinarySearchFunc(s.events, number, func(e sentEvent, n uint64) int { return cmp.Compare(e.number, n) })
}
