package scheduling

import "container/list"

const (
	// prefixBlockTokens is the size of one cached piece of a prompt.
	prefixBlockTokens = 2048
	// minPrefixBlocks and maxPrefixBlocks bound the memory per server.
	minPrefixBlocks = 16
	maxPrefixBlocks = 4096
)

// prefixMemory remembers the prompt blocks last sent to one server, as a hint
// of what its cache holds. It is bounded by the server's cache size.
type prefixMemory struct {
	limit  int
	recent *list.List
	blocks map[uint64]*list.Element
}

func newPrefixMemory(cacheTokens int) *prefixMemory {
	limit := min(max(minPrefixBlocks, cacheTokens/prefixBlockTokens), maxPrefixBlocks)
	return &prefixMemory{limit: limit, recent: list.New(), blocks: map[uint64]*list.Element{}}
}

// add remembers a prompt's blocks and forgets the least recently used ones.
func (m *prefixMemory) add(prefix []uint64) {
	for _, hash := range prefix {
		if e := m.blocks[hash]; e != nil {
			m.recent.MoveToFront(e)
			continue
		}
		m.blocks[hash] = m.recent.PushFront(hash)
	}
	for m.recent.Len() > m.limit {
		oldest := m.recent.Back()
		delete(m.blocks, oldest.Value.(uint64))
		m.recent.Remove(oldest)
	}
}

// overlap returns the share of the prompt's leading blocks that are remembered.
func (m *prefixMemory) overlap(prefix []uint64) float64 {
	if len(prefix) == 0 {
		return 0
	}
	n := 0
	for n < len(prefix) && m.blocks[prefix[n]] != nil {
		n++
	}
	return float64(n) / float64(len(prefix))
}
