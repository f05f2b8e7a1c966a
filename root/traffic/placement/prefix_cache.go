package placement

import "container/list"

// prefixCache predicts the contents of one engine's KV cache from the prompt
// segments sent to it. It evicts the least recently used segments, as the engine
// does, once they exceed the engine's cache size in tokens.
type prefixCache struct {
	limit, tokens int
	lru           *list.List
	segments      map[uint64]*list.Element
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{limit: tokens, lru: list.New(), segments: map[uint64]*list.Element{}}
}

// add records segments as cached and evicts those least recently used.
func (c *prefixCache) add(segments []Segment) {
	for _, seg := range segments {
		if e := c.segments[seg.Hash]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.segments[seg.Hash] = c.lru.PushFront(seg)
		c.tokens += seg.Tokens
	}
	for c.tokens > c.limit && c.lru.Len() > 0 {
		oldest := c.lru.Back()
		seg := oldest.Value.(Segment)
		c.lru.Remove(oldest)
		delete(c.segments, seg.Hash)
		c.tokens -= seg.Tokens
	}
}

// uncachedTokens returns the number of prompt tokens after the leading segments
// that are cached.
func (c *prefixCache) uncachedTokens(segments []Segment, promptTokens int) int {
	left := promptTokens
	for _, seg := range segments {
		if c.segments[seg.Hash] == nil {
			break
		}
		left -= seg.Tokens
	}
	return max(0, left)
}
