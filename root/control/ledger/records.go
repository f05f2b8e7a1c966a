package ledger

import (
	"bytes"
	"maps"
	"slices"
)

// shardCount is the number of shards that are copied separately on the first
// write after a snapshot.
const shardCount = 1 << 10

// records is a copy-on-write map of records by key. A copy shares its shards
// with the original, and a shared shard is cloned before the first write.
// Records are never modified in place.
type records struct {
	shards [shardCount]map[KeyDigest]*Record
	shared [shardCount]bool
	count  int
}

func shardOf(k KeyDigest) int {
	return (int(k[0]) | int(k[1])<<8) % shardCount
}

func (r *records) get(k KeyDigest) *Record { return r.shards[shardOf(k)][k] }

func (r *records) put(rec *Record) {
	shard := r.writable(rec.Key)
	if _, ok := shard[rec.Key]; !ok {
		r.count++
	}
	shard[rec.Key] = rec
}

func (r *records) remove(k KeyDigest) {
	if r.get(k) == nil {
		return
	}
	delete(r.writable(k), k)
	r.count--
}

func (r *records) writable(k KeyDigest) map[KeyDigest]*Record {
	i := shardOf(k)
	switch {
	case r.shards[i] == nil:
		r.shards[i] = make(map[KeyDigest]*Record)
	case r.shared[i]:
		r.shards[i] = maps.Clone(r.shards[i])
	}
	r.shared[i] = false
	return r.shards[i]
}

// readOnlyCopy returns a copy that shares its shards with r. The copy must not be
// modified.
func (r *records) readOnlyCopy() *records {
	for i := range r.shared {
		r.shared[i] = true
	}
	out := *r
	return &out
}

// all yields each record, in an order that depends on the keys only.
func (r *records) all(yield func(*Record) bool) {
	for _, shard := range r.shards {
		for _, rec := range sortedByKey(shard) {
			if !yield(rec) {
				return
			}
		}
	}
}

func sortedByKey(shard map[KeyDigest]*Record) []*Record {
	return slices.SortedFunc(maps.Values(shard), func(a, b *Record) int {
		return bytes.Compare(a.Key[:], b.Key[:])
	})
}
