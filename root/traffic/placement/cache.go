package placement

import "container/list"

// cacheMemory remembers the prompt parts last sent to one engine, as a hint of
// what its KV cache holds. It is bounded by the cache's size in tokens.
type cacheMemory struct {
	limit, held int
	recent      *list.List
	parts       map[uint64]*list.Element
}

func newCacheMemory(tokens int) *cacheMemory {
	return &cacheMemory{limit: tokens, recent: list.New(), parts: map[uint64]*list.Element{}}
}

// add remembers parts and forgets those least recently used.
func (m *cacheMemory) add(parts []Part) {
	for _, p := range parts {
		if e := m.parts[p.Hash]; e != nil {
			m.recent.MoveToFront(e)
			continue
		}
		m.parts[p.Hash] = m.recent.PushFront(p)
		m.held += p.Tokens
	}
	for m.held > m.limit && m.recent.Len() > 0 {
		oldest := m.recent.Back()
		p := oldest.Value.(Part)
		m.recent.Remove(oldest)
		delete(m.parts, p.Hash)
		m.held -= p.Tokens
	}
}

// missing returns the tokens of the prompt after its leading remembered parts.
func (m *cacheMemory) missing(parts []Part, promptTokens int) int {
	left := promptTokens
	for _, p := range parts {
		if m.parts[p.Hash] == nil {
			break
		}
		left -= p.Tokens
	}
	return max(0, left)
}
