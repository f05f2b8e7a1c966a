package scheduling

import "container/list"

const (
	// prefixBlockTokens is the assumed size of one prompt block, in tokens. Package
	// frontdoor cuts the blocks by bytes, at an estimated 2000 tokens each.
	prefixBlockTokens = 2048
	// minPrefixBlocks and maxPrefixBlocks bound the number of blocks recorded per
	// server.
	minPrefixBlocks = 16
	maxPrefixBlocks = 4096
)

// prefixCache predicts the contents of one server's KV cache from the prompt
// blocks sent to it. It evicts the least recently used blocks once they exceed the
// server's cache size.
type prefixCache struct {
	limit  int
	lru    *list.List
	blocks map[uint64]*list.Element
}

func newPrefixCache(cacheTokens int) *prefixCache {
	limit := min(max(minPrefixBlocks, cacheTokens/prefixBlockTokens), maxPrefixBlocks)
	return &prefixCache{limit: limit, lru: list.New(), blocks: map[uint64]*list.Element{}}
}

// add records a prompt's blocks as cached and evicts the least recently used ones.
func (c *prefixCache) add(prefix []uint64) {
	for _, hash := range prefix {
		if e := c.blocks[hash]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.blocks[hash] = c.lru.PushFront(hash)
	}
	for c.lru.Len() > c.limit {
		oldest := c.lru.Back()
		delete(c.blocks, oldest.Value.(uint64))
		c.lru.Remove(oldest)
	}
}

// overlap returns the share of the prompt's blocks that are leading and cached.
func (c *prefixCache) overlap(prefix []uint64) float64 {
	if len(prefix) == 0 {
		return 0
	}
	n := 0
	for n < len(prefix) && c.blocks[prefix[n]] != nil {
		n++
	}
	return float64(n) / float64(len(prefix))
}
